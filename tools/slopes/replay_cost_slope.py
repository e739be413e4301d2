"""Cost of following a stream and replaying its records."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.process.keeper.stream_follower import StreamFollower
from knapweeddrum.telemetry.event_log import EventLog
from tools.slopes.batch_payloads import batch_payloads, prerequisite_payload
from tools.slopes.cpu_timer import CpuTimer
from tools.slopes.fact_maker import FactMaker
from tools.slopes.figure import Figure
from tools.slopes.no_peers import NoPeers
from tools.slopes.page_log import PageLog
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

PAGE_RECORDS = 16
END_WAIT_SECONDS = 60.0


class ReplayCostSlope(Slope):
    """Follows the records of one second at the rate ``size``, as fast as possible.

    Each record has one fact. The cost includes decoding pages, applying records,
    searching for checkpoints and buffering records for peers, but not HTTP.
    """

    unit = "records/s"
    sizes = (250, 500, 1_000, 2_000)
    tiny_sizes = (4, 8)

    def __init__(self, maker: FactMaker) -> None:
        self.name = f"fold-{maker.name}"
        self._maker = maker

    def measure(self, size: float) -> Reading:
        """Return cost and bytes of following ``size`` records."""
        payloads = [
            prerequisite_payload(self._maker),
            *batch_payloads(self._maker, int(size), 1),
        ]
        follow = follow_cost(self._maker, payloads)
        return Reading(
            size,
            (
                Figure("cpu", "us", follow.cpu_microseconds),
                Figure("page", "bytes", follow.page_bytes),
                Figure("payload", "bytes", sum(map(len, payloads))),
            ),
        )


class FollowCost:
    """Processor time and page bytes of following a stream."""

    def __init__(self, cpu_microseconds: float, page_bytes: int) -> None:
        self.cpu_microseconds = cpu_microseconds
        self.page_bytes = page_bytes


def follow_cost(maker: FactMaker, payloads: Iterable[bytes]) -> FollowCost:
    """Follow records from an in-memory log and return the cost."""
    log = PageLog(payloads, PAGE_RECORDS)
    replay = StreamReplay(maker.ledger())
    timer = CpuTimer()

    async def follow() -> None:
        events = EventLog("error")
        follower = StreamFollower(log, "slope", replay, NoPeers(), events)
        async with anyio.create_task_group() as tasks:
            with timer.running():
                tasks.start_soon(follower.run)
                # The last record has the offset log.next - 1.
                await follower.wait_beyond(log.next - 2, END_WAIT_SECONDS)
            tasks.cancel_scope.cancel()

    anyio.run(follow)
    return FollowCost(timer.microseconds, log.bytes_read)
