"""The entry hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.entry_host import EntryHost


class EntryReply(msgspec.Struct, frozen=True):
    """All known entry hosts, the answering one first.

    ``offset`` is the log offset up to which the answering host has applied the
    configuration. ``crashes`` are the requested records of the keeper's crash register,
    which is at version ``crashes_version``.
    """

    hosts: tuple[EntryHost, ...]
    offset: int = -1
    crashes: tuple[CrashRecord, ...] = ()
    crashes_version: int = 0
