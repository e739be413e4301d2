"""Heartbeat of a host."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """A heartbeat of a host.

    The host serves callers at ``address`` and other hosts at ``peer_address``.
    """

    name: str
    incarnation: str
    address: str
    peer_address: str
    data_centre: str
    ready: bool
    beat: int
    """Number of the heartbeat within the incarnation."""
