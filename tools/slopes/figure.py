"""One quantity of a reading."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A named quantity and its unit."""

    name: str
    unit: str
    value: float
