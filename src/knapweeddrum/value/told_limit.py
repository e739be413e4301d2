"""A limit of an endpoint, as a host tells the others."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ToldLimit:
    """``per_second`` requests from all hosts, None for a limit that has ended."""

    instance: str
    per_second: float | None
    age: float
    """Seconds since an answer named it, or named none."""
    unnamed_answers: int = 0
    """Served answers in a row since then that did not name it."""
