"""What hosts tell each other directly of who lives."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Measure
from knapweeddrum.value.host_record import HostRecord


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """A host that was heard of directly, by the sender or by one that told it."""

    name: str
    incarnation: str
    age: Measure
    """Seconds since then."""


class SightingExchange(msgspec.Struct, frozen=True):
    """Says that the sender lives, and whom it has heard of; question and answer."""

    host: HostRecord
    """The sender, as its next heartbeat would describe it."""
    sightings: tuple[Sighting, ...] = ()
