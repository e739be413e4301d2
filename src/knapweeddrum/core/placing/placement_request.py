"""What the choice of an endpoint for one request depends on."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.capacity.prompt_parts import NO_PROMPT, PromptParts


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice for one request depends on."""

    session: str = ""
    """Shared part of the prompt that an endpoint may have cached, empty for none."""
    data_centre: str = ""
    exclude: frozenset[str] = frozenset()
    connected: frozenset[str] = frozenset()
    """Ids of the endpoints that this host has an idle connection to.

    They matter only to a request without a session.
    """
    may_probe: bool = True
    """Whether the request may test if an ejected endpoint has recovered."""
    prompt: PromptParts = NO_PROMPT
    target_latency: float = 0.0
    """Seconds within which an answer that begins is worth most, 0 if not known."""
