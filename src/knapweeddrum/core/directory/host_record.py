"""Heartbeat of a host."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """A heartbeat of a host; ``address`` is where it serves callers.

    ``peer_address`` is where it serves other hosts.
    """

    name: str
    incarnation: str
    address: str
    peer_address: str
    data_centre: str
    ready: bool
    beat: int
    """Number of the heartbeat within the incarnation."""
