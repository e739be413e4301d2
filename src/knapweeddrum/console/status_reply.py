"""The state of convergence as the resource API returns it."""

from __future__ import annotations

import msgspec

from knapweeddrum.console.host_status_reply import HostStatusReply


class StatusReply(msgspec.Struct, frozen=True):
    """``offset`` is the newest offset of the configuration log that any host has.

    ``converged`` tells whether all live hosts have that configuration.
    """

    offset: int
    converged: bool
    hosts: tuple[HostStatusReply, ...]
