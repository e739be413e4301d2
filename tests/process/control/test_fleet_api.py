from __future__ import annotations

from tests.async_test import async_test
from tests.process.control.control_bench import control_bench
from tests.standins.fake_keeper import fake_host

TOP_UP = {"topup_id": "t1", "budget": "mill/main", "tokens": 500}


async def declare_budget(bench):
    await bench.put("organisation/mill", 0, {"key_digests": []})
    await bench.put("budget/mill/main", 0, {"organisation": "mill"})


@async_test
async def test_top_up_counts_once():
    """A repeat with the same identifier deposits nothing and is marked as repeated."""
    async with control_bench() as bench:
        await declare_budget(bench)
        first = await bench.call("POST", "/v1/top-ups", TOP_UP)
        again = await bench.call("POST", "/v1/top-ups", TOP_UP)
        assert (first.status, first.document["repeated"]) == (200, False)
        assert (again.status, again.document["repeated"]) == (200, True)
        budgets = await bench.call("GET", "/v1/budgets?prefix=mill/")
        assert budgets.document["budgets"][0]["deposited"] == 500


@async_test
async def test_top_up_with_a_lost_reply_has_an_unknown_outcome():
    """When the keeper's reply is lost, a 504 names the identifier to repeat."""
    async with control_bench() as bench:
        await declare_budget(bench)
        bench.keeper.lose_next_reply = True
        lost = await bench.call("POST", "/v1/top-ups", TOP_UP)
        assert (lost.status, lost.document["run_state"]) == (504, "unknown")
        assert "t1" in lost.document["detail"]
        again = await bench.call("POST", "/v1/top-ups", TOP_UP)
        assert again.document["balance"] == 500


@async_test
async def test_wrong_top_up_deposits_nothing():
    """Invalid numbers of tokens and an unknown budget are refused with 422."""
    async with control_bench() as bench:
        await declare_budget(bench)
        wrong = ({"tokens": -1}, {"tokens": 0}, {"tokens": "5"}, {"budget": "mill/x"})
        for change in wrong:
            answer = await bench.call("POST", "/v1/top-ups", TOP_UP | change)
            assert answer.status == 422, change
        assert bench.keeper.balances == {}


@async_test
async def test_status_reports_the_lag_of_each_host():
    """Hosts behind the newest offset lag; only live ones prevent convergence."""
    async with control_bench() as bench:
        await declare_budget(bench)
        bench.keeper.hosts = [
            fake_host("h2", config_offset=0),
            fake_host("h1", config_offset=1),
            fake_host("h3", config_offset=-1, alive=False),
        ]
        status = (await bench.call("GET", "/v1/status")).document
        lags = {host["host"]: host["lag"] for host in status["hosts"]}
        assert (status["offset"], status["converged"]) == (1, False)
        assert lags == {"h1": 0, "h2": 1, "h3": 2}
        bench.keeper.hosts[0] = fake_host("h2", config_offset=1)
        assert (await bench.call("GET", "/v1/status")).document["converged"]


@async_test
async def test_drain_reaches_the_keeper_of_the_host():
    """The host's keeper gets the drain; for an unknown host the status is 404."""
    async with control_bench() as bench:
        path = "/v1/hosts/h1/drain"
        answer = await bench.call("POST", path, {"draining": True})
        assert answer.document == {"host": "h1", "draining": True}
        assert bench.keeper.draining == {"h1": True}
        missing = await bench.call("POST", "/v1/hosts/h9/drain", {"draining": True})
        assert missing.status == 404
