"""A request for the entry hosts."""

from __future__ import annotations

import msgspec


class EntryRequest(msgspec.Struct, frozen=True):
    """``router`` names the asking process."""

    router: str
