"""The entry hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.entry_host import EntryHost


class EntryReply(msgspec.Struct, frozen=True):
    """All known hosts, the answering one included.

    ``crashes`` changed up to version ``crashes_version`` of the keeper's register.
    """

    hosts: tuple[EntryHost, ...]
    offset: int = -1
    crashes: tuple[CrashRecord, ...] = ()
    crashes_version: int = 0
