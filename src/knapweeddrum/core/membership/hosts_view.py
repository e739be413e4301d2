"""The list of all hosts as it was at some time."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.entry_host import EntryHost


@dataclasses.dataclass(frozen=True, slots=True)
class HostsView:
    """Hosts and the time at which they were listed, in monotonic seconds."""

    time: float
    hosts: tuple[EntryHost, ...]
