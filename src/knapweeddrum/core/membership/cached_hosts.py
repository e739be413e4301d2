"""Cached list of all hosts."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.entry_host import EntryHost


@dataclasses.dataclass(frozen=True, slots=True)
class CachedHosts:
    """All hosts as of ``time``, in monotonic seconds."""

    time: float
    hosts: tuple[EntryHost, ...]
