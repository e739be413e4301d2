"""What one run of a slope at one size gave."""

from __future__ import annotations

import dataclasses

from tools.slopes.figure import Figure


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The figures of one run; every run of a slope gives the same names."""

    size: float
    figures: tuple[Figure, ...]
