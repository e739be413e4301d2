"""A table for people to read."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Heading and rows, all of the same length."""

    heading: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
