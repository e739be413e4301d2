"""A record of a keyed stream, which keeps the newest record of each key."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A key and its value; a value of None removes the key."""

    key: str
    value: bytes | None
    offset: int = -1
    """Position of the record, as ``store_position`` returns it."""
