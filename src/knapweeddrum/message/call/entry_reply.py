"""The entry hosts."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.entry_host import EntryHost


class EntryReply(msgspec.Struct, frozen=True):
    """All known hosts, the answering one included."""

    hosts: tuple[EntryHost, ...]
    offset: int = -1
