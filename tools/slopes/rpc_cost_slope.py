"""Cost of an RPC call, by size of the reply."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.message.call.fetch_request import FetchRequest
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.keeper_methods import FETCH
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_client import RpcClient
from knapweeddrum.rpc.rpc_server import rpc_server
from knapweeddrum.rpc.rpc_service import RpcService
from knapweeddrum.telemetry.event_log import EventLog
from tools.free_ports import free_ports
from tools.launcher import FLEET_KEY
from tools.slopes.byte_relay import LOOPBACK, ByteRelay
from tools.slopes.cpu_timer import CpuTimer
from tools.slopes.figure import Figure
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

CALLS = 400
WARM_UP_CALLS = 20
CALL_TIMEOUT_SECONDS = 5.0


class StateService(RpcService):
    """Answers with a state of a fixed size."""

    def __init__(self, size: int) -> None:
        self._state = b"x" * size

    def handlers(
        self,
    ) -> list[tuple[Method[Any, Any], Callable[[Any], Awaitable[Any]]]]:
        """Return the one method."""
        return [(FETCH, self._fetch)]

    async def _fetch(self, req: FetchRequest) -> FetchReply:
        return FetchReply(records=(), state=self._state)


class RpcCostSlope(Slope):
    """Client and server in one process; bytes are TCP payload in both directions."""

    name = "rpc-call"
    unit = "bytes"
    sizes = (100, 4_000, 16_000, 64_000)
    tiny_sizes = (10, 20)

    def __init__(self, calls: int = CALLS) -> None:
        self._calls = calls

    def measure(self, size: float) -> Reading:
        """Return cost and bytes per call with replies of ``size`` bytes."""
        return anyio.run(self._measure, size)

    async def _measure(self, size: float) -> Reading:
        identity = FleetIdentity("slopes", FLEET_KEY)
        (port,) = free_ports(1)
        service = StateService(int(size))
        timer = CpuTimer()
        async with rpc_server(service, identity, LOOPBACK, port, EventLog("error")):
            client = RpcClient(identity, LOOPBACK, port)
            await self._call(client, WARM_UP_CALLS)
            with timer.running():
                await self._call(client, self._calls)
            client.close()
            relay = ByteRelay(port)
            async with relay.running():
                relayed = RpcClient(identity, LOOPBACK, relay.port)
                await self._call(relayed, WARM_UP_CALLS)
                relay.bytes = 0
                await self._call(relayed, WARM_UP_CALLS)
                relayed.close()
        return Reading(
            size,
            (
                Figure("cpu", "us/call", timer.microseconds / self._calls),
                Figure("bytes", "bytes/call", relay.bytes / WARM_UP_CALLS),
            ),
        )

    @staticmethod
    async def _call(client: RpcClient, calls: int) -> None:
        for number in range(calls):
            await client.call(FETCH, FetchRequest("s", number, 1), CALL_TIMEOUT_SECONDS)
