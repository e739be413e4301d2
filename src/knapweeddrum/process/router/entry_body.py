"""The entry advice as sent to callers."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.entry_address import EntryAddress


class EntryBody(msgspec.Struct, frozen=True):
    """Addresses in order of preference, valid for ``lifetime_seconds``."""

    hosts: tuple[EntryAddress, ...]
    lifetime_seconds: float
