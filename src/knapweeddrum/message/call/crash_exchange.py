"""Exchange of crash records between two hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord


class CrashExchange(msgspec.Struct, frozen=True):
    """Crash records that one host tells another; the reply has the same form."""

    records: tuple[CrashRecord, ...]


class CrashClearance(msgspec.Struct, frozen=True):
    """An operator's order to clear the crashes of one request."""

    fingerprint: str


class CrashClearanceReply(msgspec.Struct, frozen=True):
    """Whether any crash counted against the request at the host."""

    cleared: bool
