"""Random simulated requests."""

from __future__ import annotations

import random

from knapweeddrum.value.identifiers import OrganisationName
from knapweeddrum.value.priority import Priority
from tools.routing_model.simulated_request import SimulatedRequest

CANCEL_FRACTION = 0.7
DOSSIERS = 40
DOSSIER_TOKENS = 4000
QUESTION_TOKENS = 200

PRIORITY_WEIGHTS = {Priority.LIVE: 60, Priority.SUMMARY: 25, Priority.REVIEW: 15}
MEAN_OUTPUT_TOKENS = {Priority.LIVE: 150, Priority.SUMMARY: 250, Priority.REVIEW: 600}
DEADLINE_SECONDS = {Priority.LIVE: 10.0, Priority.SUMMARY: 30.0, Priority.REVIEW: 120.0}


class Workload:
    """Prompts on dossiers of Zipf popularity; a fraction of callers cancel midway."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._number = 0
        self._weights = [1.0 / (rank + 1) for rank in range(DOSSIERS)]

    def next_request(self, now: float) -> SimulatedRequest:
        """Return a new request."""
        self._number += 1
        priority = self._rng.choices(
            list(PRIORITY_WEIGHTS), list(PRIORITY_WEIGHTS.values())
        )[0]
        dossier = self._rng.choices(range(DOSSIERS), self._weights)[0]
        mean = MEAN_OUTPUT_TOKENS[priority]
        output = self._rng.randint(mean // 2, mean + mean // 2)
        is_cancelled = self._rng.random() < CANCEL_FRACTION
        return SimulatedRequest(
            name=f"call-{self._number}",
            organisation=OrganisationName(f"mill-{self._rng.randint(1, 10)}"),
            priority=priority,
            prefix=f"dossier-{dossier}",
            prefix_tokens=DOSSIER_TOKENS,
            prompt_tokens=DOSSIER_TOKENS + QUESTION_TOKENS,
            output_tokens=output,
            cancel_after=self._rng.randint(1, output) if is_cancelled else output,
            arrived_at=now,
            deadline=now + DEADLINE_SECONDS[priority],
        )
