"""One measured value."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A named value and its unit."""

    name: str
    unit: str
    value: float
