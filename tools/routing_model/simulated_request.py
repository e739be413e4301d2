"""A simulated request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import OrganisationName
from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A request and its result; times are in simulated seconds.

    ``generated_tokens`` counts output tokens so far; ``token_gaps`` are the times
    between them. The caller abandons a request that has no token at its deadline, and
    cancels one after ``cancel_after`` tokens.
    """

    name: str
    organisation: OrganisationName
    priority: Priority
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    cancel_after: int
    """Output tokens after which the caller cancels; ``output_tokens`` if never."""
    arrived_at: float
    deadline: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    generated_tokens: int = 0
    refused: bool = False
    abandoned: bool = False
    cancelled: bool = False
    token_gaps: list[float] = dataclasses.field(default_factory=list)
