"""Latency and appends of request claims, by batch window."""

from __future__ import annotations

import anyio

from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from tools.slopes.figure import Figure
from tools.slopes.membership_group import MembershipGroup
from tools.slopes.memory_keeper import MemoryKeeper
from tools.slopes.memory_log import MemoryLog
from tools.slopes.paced_load import PacedLoad
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

APPEND_LATENCY_SECONDS = 0.005
CLAIMS_PER_SECOND = 100.0
RUN_SECONDS = 3.0
MILLISECONDS = 1_000


class ClaimWindowSlope(Slope):
    """One keeper and one shard on an in-memory log whose appends take 5 ms."""

    name = "claim-window"
    unit = "s"
    sizes = (0.005, 0.05, 0.2, 0.5)
    tiny_sizes = (0.001, 0.002)
    repeats = 3

    def __init__(self, run_seconds: float = RUN_SECONDS) -> None:
        self._run_seconds = run_seconds

    def measure(self, size: float) -> Reading:
        """Return latency and appends with a batch window of ``size`` seconds."""
        return anyio.run(self._measure, size)

    async def _measure(self, size: float) -> Reading:
        log = MemoryLog(APPEND_LATENCY_SECONDS)
        members = MembershipGroup(1)
        keeper = MemoryKeeper(0, members.heartbeats, log, members.network, size)

        async def claim(number: int) -> bool:
            key = f"organisation-1/orders/{number}"
            request = ClaimRequest(key, f"router/{number}", "fingerprint")
            reply = await keeper.claims.claim(request)
            return reply.verdict is ClaimVerdict.WON

        load = PacedLoad(claim)
        async with anyio.create_task_group() as tasks:
            keeper.start(tasks)
            await keeper.claim_stream.follower.ready.wait()
            await load.run(CLAIMS_PER_SECOND, self._run_seconds)
            tasks.cancel_scope.cancel()
        return Reading(
            size,
            (
                Figure("median", "ms", load.quantile(0.5) * MILLISECONDS),
                Figure("p95", "ms", load.quantile(0.95) * MILLISECONDS),
                Figure("appends", "appends/s", log.appends / self._run_seconds),
                Figure("not_won", "claims", load.failed),
            ),
        )
