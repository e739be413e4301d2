"""A request for the entry hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord


class EntryRequest(msgspec.Struct, frozen=True):
    """Asks for the entry hosts, and exchanges records of crashes.

    ``router`` is the incarnation of the asking process, and ``crashes`` are the records
    that changed there since its last request. The process asks for those that
    changed after version ``crashes_after`` of the keeper's crash register.
    """

    router: str
    crashes: tuple[CrashRecord, ...] = ()
    crashes_after: int = 0
