"""Which other hosts are asked to pass connections on to endpoints."""

from __future__ import annotations

import random
from collections.abc import Iterable

from knapweeddrum.value.host_record import HostRecord

AVOIDED_SECONDS = 2.0
"""Time for which a host that could not help with a service is not asked for it."""

MIN_CAPACITY = 1.0
"""Requests per second by which a host that names less is weighed."""


class TunnelHosts:
    """Chooses hosts at random by their capacity, those of the own data centre first.

    Hosts that are cut off themselves, or whose link is full, are left out. Times are in
    monotonic seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._avoided_until: dict[tuple[str, str | None], float] = {}

    def order(
        self,
        hosts: Iterable[HostRecord],
        service: str,
        data_centre: str,
        now: float,
    ) -> list[HostRecord]:
        """Return the ready hosts to ask for a service, one after the other."""
        able = [
            host
            for host in hosts
            if not (host.cut_off or host.sheds or self._is_avoided(host, service, now))
        ]
        drawn = {host.name: self._draw(host) for host in able}
        return sorted(
            able, key=lambda host: (host.data_centre != data_centre, -drawn[host.name])
        )

    def avoid(self, host: HostRecord, service: str | None, now: float) -> None:
        """Leave a host out for a while, for a service or for all."""
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[host.name, service] = now + AVOIDED_SECONDS

    def _is_avoided(self, host: HostRecord, service: str, now: float) -> bool:
        return any(
            self._avoided_until.get((host.name, which), 0.0) > now
            for which in (service, None)
        )

    def _draw(self, host: HostRecord) -> float:
        """Return a random key that is the larger of two in proportion to capacity."""
        return float(self._rng.random() ** (1 / max(MIN_CAPACITY, host.capacity)))
