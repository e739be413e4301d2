"""A request to a model engine."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A chat completion to run; ``body`` is JSON, ``output_limit`` is in tokens."""

    run_id: str
    model: str
    body: bytes
    output_limit: int
    priority: Priority
