"""A simulated request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import OrganisationName
from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(slots=True)
class Call:
    """A request and its result; times are in simulated seconds."""

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
    tokens: int = 0
    refused: bool = False
    abandoned: bool = False
    cancelled: bool = False
    gaps: list[float] = dataclasses.field(default_factory=list)
