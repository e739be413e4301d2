"""Prompts of this host that wait at an endpoint, and waits that others cause."""

from __future__ import annotations

import dataclasses
import math

RATE_SECONDS = 4.0
"""Time over which the rate of prompt tokens is averaged."""

WAIT_HALF_LIFE_SECONDS = 1.0
"""Time after which half of a wait that was seen still counts."""

FORGOTTEN_WAIT_SECONDS = 6.0
"""Age from which a wait no longer counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingPrompt:
    sent_at: float
    due_at: float
    seconds: float
    """Time that reading it takes."""


class PromptQueue:
    """Follows the prompts that this host sent to one endpoint.

    Endpoints read prompts in order. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, _WaitingPrompt] = {}
        self._read_at = float("-inf")
        """Time at which all of them will have been read."""
        self._rate_at = 0.0
        self._tokens = 0.0
        self._prompts = 0.0
        self._waits = (0.0, 0.0)
        self._waited_at = float("-inf")

    def start(self, attempt_id: str, tokens: int, seconds: float, now: float) -> None:
        """Record that a prompt is sent whose reading takes ``seconds``."""
        self._read_at = max(self._read_at, now + self.own_seconds(now)) + seconds
        self._waiting[attempt_id] = _WaitingPrompt(now, self._read_at, seconds)
        decay = self._decay(now)
        self._tokens = self._tokens * decay + tokens
        self._prompts = self._prompts * decay + 1.0
        self._rate_at = now

    def begin_answer(self, attempt_id: str, overhead: float, now: float) -> float:
        """Record that an answer began, and return the seconds it was late by.

        ``overhead`` is the time after the prefill.
        """
        prompt = self._waiting.get(attempt_id)
        if prompt is None:
            return 0.0
        late_by = max(0.0, now - prompt.due_at - overhead)
        self._waits = (self._waits[1], late_by)
        self._waited_at = now
        self.remove(attempt_id, now)
        return late_by

    def remove(self, attempt_id: str, now: float) -> None:
        """Record that a prompt is not waiting any more."""
        if self._waiting.pop(attempt_id, None) is not None:
            waiting = sum(prompt.seconds for prompt in self._waiting.values())
            self._read_at = now + waiting

    def is_empty(self) -> bool:
        """Return whether no prompt of this host waits."""
        return not self._waiting

    def own_seconds(self, now: float) -> float:
        """Return the time until this host's prompts will have been read."""
        if not self._waiting:
            return 0.0
        first = next(iter(self._waiting.values()))
        return max(0.0, self._read_at - now, now - first.due_at)

    def seen_wait(self, now: float) -> float:
        """Return the wait for prompts of others that the last answers showed.

        The smaller of two counts, as one long prompt in front is soon gone.
        """
        age = now - self._waited_at
        if age > FORGOTTEN_WAIT_SECONDS:
            return 0.0
        return min(self._waits) * math.pow(0.5, age / WAIT_HALF_LIFE_SECONDS)

    def recent(self, now: float) -> tuple[float, float]:
        """Return the tokens and prompts sent in the last RATE_SECONDS or so."""
        decay = self._decay(now)
        return self._tokens * decay, self._prompts * decay

    def recent_tokens(self, now: float) -> float:
        """Return the tokens sent in the last RATE_SECONDS or so."""
        return self._tokens * math.exp((self._rate_at - now) / RATE_SECONDS)

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._rate_at) / RATE_SECONDS)
