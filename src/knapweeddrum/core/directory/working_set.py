"""The hosts that callers are sent to, out of those that are ready."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from knapweeddrum.value.host_record import HostRecord

SMALL_FLEET_HOSTS = 16
"""Size of a fleet up to which all hosts carry callers' requests."""

MIN_HOSTS = 5
"""Least number of hosts in a larger fleet, so that the loss of one is a fifth."""

MIN_CAPACITY_FRACTION = 0.15
"""Part of the fleet's capacity that the set has at least, before demand is known."""

CAPACITY_PER_DEMAND = 3.0
"""Capacity of the set as a multiple of the demand, to be ahead of a burst."""

MIN_CAPACITY_PER_DEMAND = 1.5
"""Multiple of the demand that much stronger hosts carry alone.

Callers pick an address at random, so weaker members would take most of the requests.
With 8 hosts of 107 requests a second among 83 of 25, 27 weak ones joined at a demand
of 300 and got three quarters of it.
"""

WEAKER_FRACTION = 0.5
"""Part of a member's capacity below which the next host is much weaker."""

MIN_ROOM_FRACTION = 0.5
"""Part of the hosts that must have room for those without to be left out.

The others would else get more than twice their requests, and shed as well.
"""

LINGER_SECONDS = 20.0
"""Time for which a host stays in the set after it is no longer needed."""


class WorkingSet:
    """Chooses as many hosts as the traffic needs, the strongest first.

    With few hosts, each uses the connections that it has to endpoints again, knows
    their load from its own requests, and needs few loans of tokens. All hosts choose
    the same set, as they read the same heartbeats. Those that shed connections are left
    out, unless more than half of all do. The others stand by: they serve who comes and
    replace members that leave. Callers pick an address at random, so each member gets
    the same part, and the weakest bounds what the set can carry. ``now`` is in
    monotonic seconds.
    """

    def __init__(self) -> None:
        self._needed_at: dict[str, float] = {}
        self._small_since: float | None = None
        self.names: frozenset[str] = frozenset()
        """Names of the members; empty before the first update."""

    def update(self, hosts: Sequence[HostRecord], now: float) -> None:
        """Choose among the hosts that are ready, this one included."""
        chosen = _with_room(hosts)
        demand = sum(host.request_rate for host in hosts)
        needed = {host.name for host in _needed(chosen, demand)}
        # Without requests nobody has connections to lose.
        if self._is_settled(len(hosts), now) and demand > 0.0:
            for name in needed:
                self._needed_at[name] = now
        self._needed_at = {
            name: needed_at
            for name, needed_at in self._needed_at.items()
            if now - needed_at < LINGER_SECONDS
        }
        ready = {host.name for host in chosen}
        self.names = frozenset(needed | self._needed_at.keys() & ready)

    def _is_settled(self, count: int, now: float) -> bool:
        """Return whether hosts that are needed now stay when they no longer are.

        A host that starts is alone until it has read of the others, and would else
        name itself for long.
        """
        if count > SMALL_FLEET_HOSTS:
            self._small_since = None
            return True
        if self._small_since is None:
            self._small_since = now
        return now - self._small_since >= LINGER_SECONDS


def _with_room(hosts: Sequence[HostRecord]) -> Sequence[HostRecord]:
    """Return the hosts that shed no connections, or all if too few are left."""
    room = [host for host in hosts if not host.sheds]
    return room if len(room) >= MIN_ROOM_FRACTION * len(hosts) else hosts


def _needed(hosts: Sequence[HostRecord], demand: float) -> Sequence[HostRecord]:
    """Return the fewest hosts that carry the demand with room for more.

    If no number of them does, return those that carry the most.
    """
    if len(hosts) <= SMALL_FLEET_HOSTS:
        return hosts
    capacity = sum(host.capacity for host in hosts)
    needed = max(MIN_CAPACITY_FRACTION * capacity, CAPACITY_PER_DEMAND * demand)
    ranked = sorted(hosts, key=lambda host: (-host.capacity, _rank(host.name)))
    enough = max(MIN_CAPACITY_FRACTION * capacity, MIN_CAPACITY_PER_DEMAND * demand)
    best, most = MIN_HOSTS, 0.0
    for count in range(MIN_HOSTS, len(ranked) + 1):
        carried = count * ranked[count - 1].capacity
        if carried >= needed or carried >= enough and _others_are_weak(ranked, count):
            return ranked[:count]
        if carried >= most:
            best, most = count, carried
    return ranked[:best]


def _others_are_weak(ranked: Sequence[HostRecord], count: int) -> bool:
    """Return whether the next host in rank carries much less than the first ones."""
    if count == len(ranked):
        return False
    return ranked[count].capacity < WEAKER_FRACTION * ranked[count - 1].capacity


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
