from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
import msgspec

from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.process.control.order.order_owner import order_owner
from knapweeddrum.process.control.order.order_task import TAKEOVER_SECONDS
from knapweeddrum.value.order_state import OrderState
from tests.async_test import async_test
from tests.process.control.control_bench import ControlBench, control_bench
from tests.standins.fake_keeper import FakeKeeper, fake_host
from tests.standins.fake_order_engine import FakeOrderEngine

LOAD = {"endpoint": "e1", "action": "load", "model": "desk", "version": "2"}
ROLE = {"endpoint": "e1", "action": "role", "role": "prefill"}
HOSTS = ("h1", "h2")


def stored(bench: ControlBench) -> EngineOrderSpec:
    """Return the order as the log has it."""
    records = [r for r in bench.keeper.records if r.resource_kind == "engine-order"]
    return msgspec.json.decode(records[-1].body, type=EngineOrderSpec)


@contextlib.asynccontextmanager
async def two_benches(checks_fence: bool) -> AsyncIterator[list[ControlBench]]:
    """Give control processes of two hosts at one engine, its owner's first."""
    keeper = FakeKeeper()
    keeper.hosts = [fake_host(name) for name in HOSTS]
    engine = FakeOrderEngine(checks_fence)
    owner = order_owner("e1", keeper.hosts)
    names = sorted(HOSTS, key=lambda name: name != owner)
    async with contextlib.AsyncExitStack() as stack:
        benches = [
            await stack.enter_async_context(control_bench(keeper, name, engine))
            for name in names
        ]
        await declare_engine(benches[0])
        yield benches


async def declare_engine(bench: ControlBench) -> None:
    spec = {
        "kind": "model_engine",
        "address": "http://127.0.0.1:9000",
        "data_centre": "dc-1",
        "checks_fence": bench.engine.checks_fence,
    }
    await bench.put("endpoint/e1", 0, spec)


async def order(bench: ControlBench, version: int, spec: dict, **more: str):
    return await bench.put("engine-order/e1", version, spec | more)


@async_test
async def test_order_is_claimed_then_sent_with_the_claims_offset():
    """An order goes out once, with the log offset of its claim as fencing number."""
    async with two_benches(checks_fence=True) as benches:
        await order(benches[0], 0, LOAD)
        for _ in range(3):
            for bench in benches:
                await bench.round()
        taken = benches[0].engine.taken
        claim = benches[0].keeper.records[-2]
        assert [message.fence for message in taken] == [claim.offset]
        assert (taken[0].action, taken[0].version) == ("load", "2")
        assert stored(benches[0]).state is OrderState.DONE
        assert stored(benches[0]).fence == claim.offset
        assert benches[0].weights.reserved == [("desk", "2")]


@async_test
async def test_lost_replies_are_repeated_with_the_same_number():
    """When the engine's or the log's reply is lost, only the same order goes again."""
    async with two_benches(checks_fence=True) as (bench, _):
        await order(bench, 0, LOAD)
        bench.keeper.lose_next_reply = True
        await bench.round()
        bench.engine.lose_next_reply = True
        await bench.round()
        bench.keeper.lose_next_reply = True
        await bench.round()
        await bench.round()
        assert len({message.fence for message in bench.engine.taken}) == 1
        assert stored(bench).state is OrderState.DONE
        assert bench.events.names.count("order_delayed") == 1


@async_test
async def test_paused_issuer_that_wakes_is_refused_by_its_number():
    """Another host takes over with a higher number; the old issuer does no harm."""
    async with two_benches(checks_fence=True) as (paused, other):
        await order(paused, 0, LOAD)
        await paused.round()
        paused.freeze_copy()
        gone = fake_host(paused.host, alive=False)
        other.keeper.hosts = [gone, fake_host(other.host)]
        await other.round()
        assert stored(other).issuer.startswith(paused.host)
        other.now += TAKEOVER_SECONDS
        await other.round()
        await other.round()
        assert stored(other).state is OrderState.DONE
        records = len(other.keeper.records)
        await paused.process.orders.round()
        assert [message.fence for message in other.engine.taken] == [records - 2]
        assert len(other.keeper.records) == records


@async_test
async def test_engine_that_ignores_numbers_has_one_issuer():
    """A silent issuer keeps its order until an operator names it as gone."""
    async with two_benches(checks_fence=False) as (silent, other):
        await order(silent, 0, LOAD)
        await silent.round()
        issuer = stored(silent).issuer
        other.keeper.hosts = [fake_host(other.host)]
        other.now += 100 * TAKEOVER_SECONDS
        await other.round()
        assert other.engine.taken == []
        refused = await order(other, 2, ROLE)
        assert refused.document["reason"] == "order_outstanding"
        assert issuer in refused.document["detail"]
        wrong = await order(other, 2, ROLE, release_issuer="h9/control/1")
        assert wrong.status == 409
        deleted = await other.call("DELETE", "/v1/resources/engine-order/e1?version=2")
        assert deleted.status == 409
        released = await order(other, 2, ROLE, release_issuer=issuer)
        assert released.status == 200
        await other.round()
        await other.round()
        assert [message.action for message in other.engine.taken] == ["role"]


@async_test
async def test_weight_stores_rate_is_respected():
    """A load waits as long as the weight store says, without being claimed."""
    async with two_benches(checks_fence=True) as (bench, _):
        bench.weights.wait = 60.0
        await order(bench, 0, LOAD)
        await bench.round()
        bench.weights.wait = 0.0
        bench.now += 59.0
        await bench.round()
        assert stored(bench).state is OrderState.REQUESTED
        assert bench.weights.reserved == []
        bench.now += 1.0
        await bench.round()
        await bench.round()
        assert stored(bench).state is OrderState.DONE


@async_test
async def test_stop_gives_unfinished_orders_back():
    """A graceful stop leaves an order at a dead engine to the next issuer."""
    async with two_benches(checks_fence=False) as (stopped, other):
        stopped.engine.failures = 1
        await order(stopped, 0, ROLE)
        await stopped.round()
        await stopped.round()
        assert stored(stopped).state is OrderState.ISSUING
        stopped.engine.failures = 100
        stopped.stopping.set()
        await stopped.process.orders.run(stopped.stopping)
        assert stored(stopped).state is OrderState.REQUESTED
        stopped.engine.failures = 0
        other.keeper.hosts = [fake_host(other.host)]
        await other.round()
        await other.round()
        assert stored(other).state is OrderState.DONE


@async_test
async def test_task_carries_an_order_out_by_itself():
    """The running task finishes an order without being asked."""
    async with control_bench() as bench, anyio.create_task_group() as tasks:
        await declare_engine(bench)
        tasks.start_soon(bench.process.orders.run, bench.stopping)
        await order(bench, 0, LOAD)
        while stored(bench).state is not OrderState.DONE:
            await anyio.sleep(0.001)
        bench.stopping.set()
    assert len(bench.engine.taken) == 1
