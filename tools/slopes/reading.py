"""Result of one run of a slope at one size."""

from __future__ import annotations

import dataclasses

from tools.slopes.figure import Figure


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The figures of one run; all runs of a slope have the same figure names."""

    size: float
    figures: tuple[Figure, ...]
