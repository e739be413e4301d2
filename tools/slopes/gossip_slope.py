"""Cost and propagation time of the membership exchange, by hosts."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio

from knapweeddrum.message.call.entry_host import EntryHost
from tools.slopes.cpu_timer import CpuTimer
from tools.slopes.figure import Figure
from tools.slopes.membership_group import MembershipGroup
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

ROUNDS = 10
ROUND_LIMIT = 600
WATCHERS = 20
SPREAD_FRACTION = 0.95


class GossipSlope(Slope):
    """Runs gossip rounds of all hosts in one process, with in-memory calls.

    Bytes are those of the messages, counted once for the sender and once for the
    receiver. A round is one second.
    """

    name = "gossip"
    unit = "hosts"
    sizes = (7, 20, 60, 120)
    tiny_sizes = (3, 5)
    repeats = 3

    def __init__(self) -> None:
        self._seeds = itertools.count(1)

    def measure(self, size: float) -> Reading:
        """Return traffic, cost and propagation times with ``size`` hosts."""
        return anyio.run(self._measure, size)

    async def _measure(self, size: float) -> Reading:
        members = MembershipGroup(int(size), seed=next(self._seeds))
        timer = CpuTimer()
        with timer.running():
            for _ in range(ROUNDS):
                await members.round()
        host_rounds = len(members.tasks) * ROUNDS
        calls = sum(counts.calls for counts in members.network.counts.values())
        size_bytes = sum(counts.bytes for counts in members.network.counts.values())
        drain_rounds = await self._rounds_until_draining(members)
        offset_rounds = await self._rounds_until_offset_known(members)
        failure_rounds = await self._rounds_until_failed(members)
        return Reading(
            size,
            (
                Figure("calls", "calls/host/s", calls / host_rounds),
                Figure("bytes", "bytes/host/s", 2 * size_bytes / host_rounds),
                Figure("cpu", "us/host/s", timer.microseconds / host_rounds),
                Figure("drain_spread", "s", drain_rounds),
                Figure("offset_spread", "s", offset_rounds),
                Figure("loss_noticed", "s", failure_rounds),
            ),
        )

    async def _rounds_until_draining(self, members: MembershipGroup) -> float:
        """Return the rounds until 95 % of the watchers know that host 0 drains."""
        members.tasks[0].draining = True
        return await self._rounds_until(members, 0, lambda host: host.draining)

    async def _rounds_until_offset_known(self, members: MembershipGroup) -> float:
        """Return the rounds until 95 % of the watchers know a new offset of host 0."""
        members.config_offsets[0] = 1
        return await self._rounds_until(members, 0, lambda host: host.config_offset > 0)

    async def _rounds_until_failed(self, members: MembershipGroup) -> float:
        """Return the rounds until 95 % of the watchers consider a lost host failed."""
        last = len(members.tasks) - 1
        members.remove_host(last)
        return await self._rounds_until(members, last, lambda host: not host.alive)

    async def _rounds_until(
        self, members: MembershipGroup, subject: int, seen: Callable[[EntryHost], bool]
    ) -> float:
        """Return the rounds until ``seen`` holds for a host at 95 % of the watchers."""
        name = members.heartbeats[subject].host
        watchers = members.tasks[1 : 1 + WATCHERS]
        for number in range(1, ROUND_LIMIT):
            await members.round()
            count = sum(
                any(seen(host) for host in task.hosts() if host.host == name)
                for task in watchers
            )
            if count >= SPREAD_FRACTION * len(watchers):
                return float(number)
        return float(ROUND_LIMIT)
