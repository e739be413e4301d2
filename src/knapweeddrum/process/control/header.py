"""One HTTP header."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Name, in lower case, and value."""

    name: str
    value: str
