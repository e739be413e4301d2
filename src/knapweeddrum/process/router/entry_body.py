"""The entry advice as callers get it."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.entry_address import EntryAddress


class EntryBody(msgspec.Struct, frozen=True):
    """Addresses in order of preference; ask again after ``lifetime_seconds``."""

    hosts: tuple[EntryAddress, ...]
    lifetime_seconds: float
