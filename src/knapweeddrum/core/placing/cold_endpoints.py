"""What a host knows of endpoints that are cold."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.value.identifiers import EndpointName

LIST_OLD_SECONDS = 3.0
"""Time without a read of the service list after which any endpoint may be cold."""


@dataclasses.dataclass(slots=True)
class _Known:
    service: str
    data_centre: str
    number: int
    """Number of the entry that was applied last, which its endpoint gave it."""
    position: int
    cold_until: float


@dataclasses.dataclass(slots=True)
class _TakenBack:
    at: float
    entries_from: int | None = None
    """Position from which entries were certainly written later, None until known."""


class ColdEndpoints:
    """Knows which starts of endpoints are cold, and the limit on each.

    A host that has not read the service list lately takes all endpoints of services
    with a ramp for cold, as does each host those of a data centre that was taken back,
    until an entry that was written later tells. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._ramps: Mapping[str, ColdRamp] = {}
        self._known: dict[EndpointName, _Known] = {}
        self._taken_back: dict[str, _TakenBack] = {}
        self._read_at = float("-inf")

    def set_ramps(self, ramps: Mapping[str, ColdRamp]) -> None:
        """Set the ramps of the services that have one."""
        self._ramps = ramps

    def observe_entry(
        self, instance: EndpointName, entry: EndpointEntry, position: int, now: float
    ) -> None:
        """Apply an entry that was read.

        One with a lower number than one before is of an older copy of the store.
        """
        known = self._known.get(instance)
        if known is not None and (
            position <= known.position or entry.number < known.number
        ):
            return
        cold_until = now
        if entry.cold_remaining is not None:
            cold_until = now + entry.cold_remaining
        elif known is not None:
            cold_until = known.cold_until
        elif (ramp := self._ramps.get(entry.service)) is not None:
            cold_until = now + ramp.start_seconds
        self._known[instance] = _Known(
            entry.service, entry.data_centre, entry.number, position, cold_until
        )

    def is_called_cold(self, instance: EndpointName, now: float) -> bool:
        """Return whether an entry tells that an endpoint is cold now."""
        known = self._known.get(instance)
        return (
            known is not None
            and known.service in self._ramps
            and now < known.cold_until
        )

    def observe_read(
        self, listed: Collection[EndpointName], asked_at: float, end: int
    ) -> None:
        """Record that all entries before a position are applied."""
        self._read_at = asked_at
        for taken_back in self._taken_back.values():
            if taken_back.entries_from is None and asked_at >= taken_back.at:
                taken_back.entries_from = end
        for instance in self._known.keys() - set(listed):
            del self._known[instance]

    def take_back(self, data_centre: str, now: float) -> None:
        """Take the endpoints of a data centre for cold, as its record was removed."""
        self._taken_back[data_centre] = _TakenBack(now)

    def limit(self, instance: EndpointName, now: float) -> float | None:
        """Return the requests a second from all hosts, None for a warm endpoint."""
        known = self._known.get(instance)
        ramp = self._ramps.get(known.service) if known is not None else None
        if known is None or ramp is None:
            return None
        if now < known.cold_until or self.is_list_old(now) or self._is_in_doubt(known):
            return ramp.per_second
        return None

    def limit_in_doubt(self, instance: EndpointName, now: float) -> float | None:
        """Return the limit on an endpoint that may be cold only as the list is old."""
        known = self._known.get(instance)
        if known is None or now < known.cold_until or self._is_in_doubt(known):
            return None
        return self.limit(instance, now)

    def cold_left(self, instance: EndpointName, now: float) -> float | None:
        """Return the seconds for which an endpoint stays cold, None if it is not.

        0 stands for one that may be cold until an entry tells.
        """
        if self.limit(instance, now) is None:
            return None
        return max(0.0, self._known[instance].cold_until - now)

    def is_list_old(self, now: float) -> bool:
        """Return whether endpoints may have become cold since the last read."""
        return now - self._read_at > LIST_OLD_SECONDS

    def limit_of_question(
        self, instance: EndpointName, asked: float | None, *, may_err: bool, now: float
    ) -> float | None:
        """Return the limit that holds for a host that asks for a permit.

        ``asked`` is the limit that it applies, ``may_err`` whether that is only because
        its list is old: then what this host has read counts.
        """
        own = self.limit(instance, now)
        if own is not None:
            return own if asked is None else min(own, asked)
        is_known_warm = instance in self._known and not self.is_list_old(now)
        return None if may_err and is_known_warm else asked

    def _is_in_doubt(self, known: _Known) -> bool:
        taken_back = self._taken_back.get(known.data_centre)
        if taken_back is None:
            return False
        first = taken_back.entries_from
        return first is None or known.position < first
