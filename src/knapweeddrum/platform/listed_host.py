"""An entry of the platform's host list."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A live or leaving machine, entry host or endpoint, as the platform lists it."""

    name: str
    address: str
    leaving: bool
