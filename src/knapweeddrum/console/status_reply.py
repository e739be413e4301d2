"""The state of convergence as the resource API returns it."""

from __future__ import annotations

import msgspec

from knapweeddrum.console.host_status_reply import HostStatusReply


class StatusReply(msgspec.Struct, frozen=True):
    """Newest configuration offset known, and the state of each host."""

    offset: int
    converged: bool
    hosts: tuple[HostStatusReply, ...]
