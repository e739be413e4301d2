"""Heartbeat of a host."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.documents import Count, Measure
from knapweeddrum.value.told_data_centre import ToldDataCentre
from knapweeddrum.value.told_limit import ToldLimit

UNKNOWN_CAPACITY = 25.0
"""Requests per second that a host which names no capacity is taken to carry."""


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
    beat: Count
    """Number of the heartbeat within the incarnation."""
    capacity: Measure = UNKNOWN_CAPACITY
    """Requests per second that it can carry."""
    request_rate: Measure = 0.0
    """Requests per second that it received lately."""
    limits: tuple[ToldLimit, ...] = ()
    """Limits of endpoints that it knows of."""
    sheds: bool = False
    """Whether it turns new connections away at times, as its link is full."""
    emptied: tuple[ToldDataCentre, ...] = ()
    """Data centres that were emptied, or taken back since."""
    cut_off: bool = False
    """Whether it reaches no endpoint but through other hosts."""
