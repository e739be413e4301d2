"""Time until all hosts use a configuration change, by hosts."""

from __future__ import annotations

import json
import statistics
import time
import uuid

import anyio

from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.keeper_methods import CHANGE, ENTRY
from knapweeddrum.rpc.rpc_client import RpcClient
from tools.launcher import FLEET_KEY, SmallFleet
from tools.slopes.byte_relay import LOOPBACK
from tools.slopes.figure import Figure
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet
from tools.slopes.slope import Slope

ROLES = ("keeper", "router")
CHANGES = 10
SETTLE_SECONDS = 6.0
POLL_INTERVAL_SECONDS = 0.005
CALL_TIMEOUT_SECONDS = 5.0
SPREAD_TIMEOUT_SECONDS = 30.0
MILLISECONDS = 1_000


class ConfigSpreadSlope(Slope):
    """Measures from the operator's call until every host uses the change.

    A host uses the change once both its keeper and its router, real processes, do.
    """

    name = "config-spread"
    unit = "hosts"
    sizes = (3, 7, 12)
    tiny_sizes = (1, 2)
    repeats = 2

    def __init__(
        self, changes: int = CHANGES, settle_seconds: float = SETTLE_SECONDS
    ) -> None:
        self._changes = changes
        self._settle_seconds = settle_seconds

    def measure(self, size: float) -> Reading:
        """Return the times until changes are used by all of ``size`` hosts."""
        with real_fleet(int(size), ROLES, engine_count=0) as fleet:
            time.sleep(self._settle_seconds)
            seconds = anyio.run(self._spread, fleet)
        return Reading(
            size,
            (
                Figure("median", "ms", statistics.median(seconds) * MILLISECONDS),
                Figure("greatest", "ms", max(seconds) * MILLISECONDS),
            ),
        )

    async def _spread(self, fleet: SmallFleet) -> list[float]:
        identity = FleetIdentity("demo", FLEET_KEY)
        clients = [
            RpcClient(identity, LOOPBACK, host.keeper_port) for host in fleet.hosts
        ]
        seconds = []
        for number in range(self._changes):
            start = time.monotonic()
            offset = await self._change(clients[0], number)
            async with anyio.create_task_group() as tasks:
                for client in clients:
                    tasks.start_soon(self._wait, client, offset)
            seconds.append(time.monotonic() - start)
        for client in clients:
            client.close()
        return seconds

    @staticmethod
    async def _change(client: RpcClient, number: int) -> int:
        request = ChangeRequest(
            change_id=uuid.uuid4().hex,
            resource_kind="organisation",
            name=f"organisation-{number}",
            base_version=0,
            author="slopes",
            body=json.dumps({"key_digests": [f"{number:064x}"]}).encode(),
        )
        reply = await client.call(CHANGE, request, CALL_TIMEOUT_SECONDS)
        if reply.verdict is not ChangeVerdict.ACCEPTED:
            raise SystemExit(f"change {number}: {reply}")
        return reply.offset

    @staticmethod
    async def _wait(client: RpcClient, offset: int) -> None:
        with anyio.fail_after(SPREAD_TIMEOUT_SECONDS):
            while True:
                try:
                    reply = await client.call(
                        ENTRY, EntryRequest("s"), CALL_TIMEOUT_SECONDS
                    )
                except RpcError:
                    continue
                if reply.offset >= offset:
                    return
                await anyio.sleep(POLL_INTERVAL_SECONDS)
