"""An entry of the platform's host list."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry host or endpoint, live or leaving."""

    name: str
    address: str
    leaving: bool
