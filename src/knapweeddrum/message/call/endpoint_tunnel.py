"""Messages by which a host asks another one for a way to an endpoint."""

from __future__ import annotations

import enum

import msgspec

from knapweeddrum.value.documents import Count, Measure
from knapweeddrum.value.probe_result import ProbeResult


class TunnelRefusal(enum.StrEnum):
    """Why a host does not connect to an endpoint for another one."""

    CUT_OFF = "cut_off"
    """It has lost its own path to the endpoint."""
    DRAINING = "draining"
    UNLISTED = "unlisted"
    """It does not know that start of the endpoint."""
    EMPTIED = "emptied"
    """The data centre of the endpoint was emptied."""
    LINK_FULL = "link_full"
    NO_ROOM = "no_room"
    """It has too few descriptors or too little memory left."""


class TunnelRequest(msgspec.Struct, frozen=True):
    """Asks for a connection to one start of an endpoint."""

    endpoint: str
    started_at_ms: Count
    timeout: Measure
    """Seconds in which it must be accepted."""
    is_probe: bool = False
    """Whether the connection is closed again at once."""


class TunnelReply(msgspec.Struct, frozen=True):
    """What became of the connection; after ``connected`` the tunnel begins."""

    result: ProbeResult | None = None
    refusal: TunnelRefusal | None = None
