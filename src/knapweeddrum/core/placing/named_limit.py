"""The limit on requests that an answer of an endpoint names."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """``per_second`` is for all hosts together, None if the answer names no limit.

    A malformed value, marked so, tells nothing.
    """

    per_second: float | None = None
    is_malformed: bool = False
