from __future__ import annotations

import json

import anyio
import anyio.to_thread
import msgspec

from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.message.call.host_state import HostState
from tests.async_test import async_test
from tests.console.test_client_commands import run
from tests.process.entry.entry_harness import configuration, entry_harness
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import Behaviour, StampedServer


@async_test
async def test_operators_see_versions_endpoints_and_budgets_of_a_host():
    """The page and the command show what the process knows and holds."""
    draft = StampedServer("engine-1", events=2)
    broken = StampedServer("stock-1")
    broken.plan = [Behaviour.FAIL] * 9
    async with entry_harness(engines=(draft,), services=(broken,)) as harness:
        assert (await harness.call("/draft/1", tokens="100,30")).status == 200
        for number in range(4):
            await harness.call("/read/1", attempt=f"r{number}")
        answer = await harness.get(harness.metrics_address, "/state")
        state = msgspec.json.decode(answer.body, type=HostState)
        assert (state.host, state.ready, state.config_version) == ("host-1", True, 1)
        assert state.config_age is not None and state.config_age < 5
        conditions = {row.endpoint: row.condition for row in state.endpoints}
        assert conditions == {"engine-1": "usable", "stock-1": "ejected"}
        (budget,) = state.budgets
        assert (budget.organisation, budget.prepaid) == ("mill", 10_000)
        assert budget.spent_here == 106
        assert budget.reserved_here == 0
        url = f"http://{harness.metrics_address}"
        ran = await anyio.to_thread.run_sync(run, "host-state", url)
        assert ran.code == ExitCode.OK
        assert "ejected" in ran.out
        assert "version 1" in ran.out
        assert "callers 0 of" in ran.out
        ran = await anyio.to_thread.run_sync(run, "--output", "json", "host-state", url)
        assert json.loads(ran.out)["host"] == "host-1"


@async_test
async def test_operators_see_the_era_of_the_store_and_suspended_claims():
    """A process that is no first start waits for others, which there are none of."""
    store = PlatformStore()
    store.era = 1
    async with entry_harness(store=store) as harness:
        answer = await harness.get(harness.metrics_address, "/state")
        before = msgspec.json.decode(answer.body, type=HostState)
        await store.return_from_copy(age=60.0, away=0.1)
        with anyio.fail_after(5.0):
            await harness.wait_for_event("store_returned")
        answer = await harness.get(harness.metrics_address, "/state")
        state = msgspec.json.decode(answer.body, type=HostState)
        assert state.store_era == before.store_era + 1
        assert not state.claims_open
        url = f"http://{harness.metrics_address}"
        ran = await anyio.to_thread.run_sync(run, "host-state", url)
        assert "suspended, missing: none" in ran.out, ran.out


@async_test
async def test_operators_see_cold_endpoints_and_emptied_data_centres():
    """Both explain why an endpoint that answers gets few requests or none."""
    engine = StampedServer("engine-1", events=2)
    document = configuration()
    document["services"][0].update(coldStartS=20, coldPerS=7.5)  # type: ignore[index]
    async with entry_harness(engines=(engine,), document=document) as harness:
        entry = engine.entry("engine", coldRemainingMs=60_000, seq=2)
        harness.store.put("keyed.servers", "engine-1", entry)
        harness.store.put("keyed.op", "evacuate/zone-a", {})
        with anyio.fail_after(10.0):
            await harness.wait_for_event("endpoint_cold")
            await harness.wait_for_event("data_centre_emptied")
        answer = await harness.get(harness.metrics_address, "/state")
        state = msgspec.json.decode(answer.body, type=HostState)
        (row,) = state.endpoints
        assert row.limit == 7.5
        assert row.cold_left is not None and 30 < row.cold_left <= 60
        assert [row.data_centre for row in state.emptied] == ["zone-a"]
        url = f"http://{harness.metrics_address}"
        ran = await anyio.to_thread.run_sync(run, "host-state", url)
        assert "zone-a (" in ran.out, ran.out


class ReportingServer(StampedServer):
    """An endpoint that reports how long work takes, in percent of the usual."""

    def __init__(self, server_id: str, work_time: int) -> None:
        super().__init__(server_id, events=2)
        self.work_time = work_time

    def load(self) -> bytes:
        return b"1,0,8,%d" % self.work_time


@async_test
async def test_sessions_leave_an_endpoint_that_reports_slow_work():
    """A report that is decoded and not used would leave half of them there."""
    engines = (ReportingServer("engine-1", 100), ReportingServer("engine-2", 900))
    async with entry_harness(engines=engines) as harness:
        for number in range(24):
            answer = await harness.call(
                "/draft/1",
                attempt=f"a{number}",
                tokens="300,10",
                prefix=f"aa:10,s{number}:20,own{number}:270",
            )
            assert answer.status == 200
        assert engines[0].arrivals > engines[1].arrivals * 2
        answer = await harness.get(harness.metrics_address, "/state")
        state = msgspec.json.decode(answer.body, type=HostState)
        rows = {row.endpoint: row for row in state.endpoints}
        assert rows["engine-1"].work_time == 1.0
        assert rows["engine-2"].work_time > 1.0
        answer = await harness.get(harness.metrics_address, "/metrics")
        assert b"session.moved" in answer.body
