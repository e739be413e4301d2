from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.message.call.token_demand import TokenDemand
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.platform.host_list import HostList
from knapweeddrum.process.keeper.keeper_process import KeeperProcess
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc import keeper_methods
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from tests.process.keeper.memory_log import MemoryLog, MemoryLogHandle

BUDGET = "mill/main"
CALL_SECONDS = 20.0
POLL_SECONDS = 0.02
FIRST_PORT = 9000


class EmptyHostList(HostList):
    async def read(self):
        return ()


class BenchKeeper:
    """A keeper without sockets, which can be killed or cut off from its peers."""

    def __init__(self, name: str, process: KeeperProcess, log: MemoryLogHandle) -> None:
        self.name = name
        self.process = process
        self.log = log
        self.scope = anyio.CancelScope()
        self.cut_off = False
        self.handlers = {m.path: f for m, f in process.service.handlers()}

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.process.start_tasks(tasks)

    def kill(self) -> None:
        self.cut_off = True
        self.scope.cancel()

    async def call(self, method, request):
        """Call the keeper as a process of its host would."""
        with anyio.fail_after(CALL_SECONDS):
            return await self.handlers[method.path](request)

    async def draw(
        self, draw_id: str, minimum: int, preferred: int | None = None, free: int = 0
    ):
        want = TokenDemand(BUDGET, minimum, preferred or minimum, free)
        request = DrawRequest(draw_id=draw_id, router="router-1", wants=(want,))
        return await self.call(keeper_methods.DRAW, request)

    async def top_up(self, topup_id: str, tokens: int):
        request = TopUpRequest(topup_id=topup_id, budget=BUDGET, tokens=tokens)
        return await self.call(keeper_methods.TOP_UP, request)

    async def bill(self, request_key: str, run_id: str, allowance, tokens: int):
        settlement = Settlement(
            request_key=request_key,
            run_id=run_id,
            budget=BUDGET,
            grant_id=allowance.grant_id,
            tokens=tokens,
            outcome="finished",
            settler=f"router-1/{request_key}",
        )
        request = SettleRequest(
            settle_id=f"s-{request_key}", router="router-1", settlements=(settlement,)
        )
        return await self.call(keeper_methods.SETTLE, request)

    async def give_back(self, settle_id: str, allowances):
        request = SettleRequest(
            settle_id=settle_id, router="router-1", settlements=(), returns=allowances
        )
        return await self.call(keeper_methods.SETTLE, request)

    def grants(self):
        """Return the open grants of this keeper, as its own ledgers have them."""
        own = self.process._incarnation
        ledgers = [stream.ledger for stream in self.process._streams]
        return [
            grant
            for ledger in ledgers
            if isinstance(ledger, BudgetLedger)
            for grant in ledger.grants_of(own)
        ]

    async def status(self):
        reply = await self.call(keeper_methods.BUDGET, BudgetRequest(prefix=BUDGET))
        return reply.budgets[0]


class BenchCaller(RpcCaller):
    """Calls one keeper from another; fails if either of them is cut off."""

    def __init__(self, bench: KeeperBench, source: str, port: int) -> None:
        self._bench = bench
        self._source = source
        self._port = port

    async def call(self, method, request, timeout):
        await anyio.sleep(0)
        target = self._bench.by_port.get(self._port)
        source = self._bench.keepers[self._source]
        if target is None or target.cut_off or source.cut_off:
            raise RpcError("cut off")
        with anyio.move_on_after(timeout):
            return await target.handlers[method.path](request)
        raise RpcError("timeout")


class KeeperBench:
    """Keepers of several hosts in one event loop, with one log."""

    def __init__(self, tasks: anyio.abc.TaskGroup, **budgets: object) -> None:
        self.log = MemoryLog()
        self.keepers: dict[str, BenchKeeper] = {}
        self.by_port: dict[int, BenchKeeper] = {}
        self._tasks = tasks
        self._budgets = {"shards": 1, "minimum_grant_tokens": 100, **budgets}
        self._seed = 0

    def settings(self, index: int, count: int) -> Settings:
        hosts = [
            {
                "name": f"host-{number}",
                "region": "loopback",
                "data_centre": f"dc-{number}",
                "address": "127.0.0.1",
                "keeper_port": FIRST_PORT + number,
                "router_port": 8000 + number,
                "control_port": 7000 + number,
            }
            for number in range(count)
        ]
        return Settings.model_validate(
            {
                "fleet": {"name": "bench", "key": "bench-key-0123456789"},
                "host": hosts[index],
                "peers": [host for host in hosts if host is not hosts[index]],
                "platform": {
                    "log": "http://127.0.0.1:1",
                    "host_list": "http://127.0.0.1:2",
                    "checkpoint_records": 5,
                },
                "budgets": self._budgets,
            }
        )

    def start(
        self, index: int, count: int, log_unavailable: bool = False
    ) -> BenchKeeper:
        """Start the keeper of a host; a previous one of that host is replaced."""
        self._seed += 1
        name = f"host-{index}"
        handle = MemoryLogHandle(self.log)
        handle.unavailable = log_unavailable
        peers = PeerChannels(lambda _, port: BenchCaller(self, name, port))
        process = KeeperProcess(
            self.settings(index, count),
            handle,
            EmptyHostList(),
            peers,
            EventLog("error"),
            Metrics(),
            random.Random(self._seed),
        )
        keeper = BenchKeeper(name, process, handle)
        self.keepers[name] = keeper
        self.by_port[FIRST_PORT + index] = keeper
        self._tasks.start_soon(keeper.run)
        return keeper


@contextlib.asynccontextmanager
async def keeper_bench(
    count: int, **budgets: object
) -> AsyncIterator[tuple[KeeperBench, list[BenchKeeper]]]:
    """Start ``count`` keepers and wait until they know each other."""
    async with anyio.create_task_group() as tasks:
        bench = KeeperBench(tasks, **budgets)
        keepers = [bench.start(index, count) for index in range(count)]
        await until(lambda: all(knows(keeper, count) for keeper in keepers))
        yield bench, keepers
        tasks.cancel_scope.cancel()


def knows(keeper: BenchKeeper, count: int) -> bool:
    """Return whether a keeper knows ``count`` live hosts and all streams are ready."""
    process = keeper.process
    live = len(process._membership.live_incarnations())
    ready = all(s.follower.ready.is_set() for s in process._streams)
    return live >= count and ready


async def until(condition) -> None:
    """Wait for a condition, without a timeout of its own: the test has one."""
    while not condition():
        await anyio.sleep(POLL_SECONDS)


async def until_status(keeper: BenchKeeper, condition):
    """Wait until the status of the budget meets a condition, and return the status."""
    while True:
        status = await keeper.status()
        if condition(status):
            return status
        await anyio.sleep(POLL_SECONDS)
