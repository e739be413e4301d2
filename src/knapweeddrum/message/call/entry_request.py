"""A request for the entry hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord


class EntryRequest(msgspec.Struct, frozen=True):
    """``router`` names the asking process.

    ``crashes`` is what it learnt since its last request. It wants the crashes that
    others learnt after version ``crashes_after`` of the keeper's register.
    """

    router: str
    crashes: tuple[CrashRecord, ...] = ()
    crashes_after: int = 0
