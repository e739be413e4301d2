"""A change of an engine's prefix cache."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix digest that was stored or evicted; numbered, with gaps."""

    sequence: int
    prefix: str
    stored: bool
