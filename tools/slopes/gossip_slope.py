"""Cost and speed of the membership exchange, by hosts."""

from __future__ import annotations

import statistics

import anyio

from tools.slopes.cpu_timer import CpuTimer
from tools.slopes.figure import Figure
from tools.slopes.members import Members
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

ROUNDS = 10
ROUND_LIMIT = 600


class GossipSlope(Slope):
    """Runs rounds of all hosts in one process, with calls in memory.

    Bytes are those of the messages, counted once for the sender and once for the
    receiver. A round is one second.
    """

    name = "gossip"
    unit = "hosts"
    sizes = (7, 20, 60, 120)
    tiny_sizes = (3, 5)
    repeats = 3

    def measure(self, size: float) -> Reading:
        """Run once at a size and return what it took."""
        return anyio.run(self._measure, size)

    async def _measure(self, size: float) -> Reading:
        members = Members(int(size))
        timer = CpuTimer()
        with timer.running():
            for _ in range(ROUNDS):
                await members.round()
        host_rounds = len(members.tasks) * ROUNDS
        calls = sum(counts.calls for counts in members.network.counts.values())
        size_bytes = sum(counts.bytes for counts in members.network.counts.values())
        heard = await self._rounds_until_heard(members)
        gone = await self._rounds_until_gone(members)
        return Reading(
            size,
            (
                Figure("calls", "calls/host/s", calls / host_rounds),
                Figure("bytes", "bytes/host/s", 2 * size_bytes / host_rounds),
                Figure("cpu", "us/host/s", timer.microseconds / host_rounds),
                Figure("offset_spread", "s", heard),
                Figure("loss_noticed", "s", gone),
            ),
        )

    async def _rounds_until_heard(self, members: Members) -> float:
        """Return the rounds until 95 in 100 hosts know a new offset of the first."""
        members.offsets[0] = 1
        source = members.heartbeats[0].host
        heard: dict[int, int] = {}
        for number in range(1, ROUND_LIMIT):
            await members.round()
            for index, task in enumerate(members.tasks[1:]):
                offsets = [h.config_offset for h in task.hosts() if h.host == source]
                if offsets == [1]:
                    heard.setdefault(index, number)
            if len(heard) >= 0.95 * (len(members.tasks) - 1):
                return float(max(heard.values()))
        return float(ROUND_LIMIT)

    async def _rounds_until_gone(self, members: Members) -> float:
        """Return the median rounds until the others take a lost host for gone."""
        lost = members.heartbeats[-1].host
        members.end(len(members.tasks) - 1)
        gone: dict[int, int] = {}
        for number in range(1, ROUND_LIMIT):
            await members.round()
            for index, task in enumerate(members.tasks):
                alive = [host.alive for host in task.hosts() if host.host == lost]
                if alive == [False]:
                    gone.setdefault(index, number)
            if len(gone) == len(members.tasks):
                break
        return float(statistics.median(gone.values())) if gone else float(ROUND_LIMIT)
