from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.router.chat_reply import ChatReply
from tests.process.router.router_bench import (
    BUDGET,
    CHAT,
    chat_body,
    served_router,
    until,
)

BALANCE = 100_000


@async_test
async def test_planned_stop_cuts_nothing_and_gives_everything_back():
    """A stream is completed, new requests are refused, allowances are returned."""
    async with served_router(BALANCE) as (bench, ends):
        async with anyio.create_task_group() as tasks:
            body = chat_body(300)
            async with bench.open("POST", CHAT, body) as response:
                stream = response.aiter_stream()
                received = await anext(stream)
                tasks.start_soon(bench.router.drain.run)
                await until(lambda: True in bench.keeper.draining)
                assert (await bench.request("GET", "/v1/entry")).status == 503
                still_served = await bench.chat(2)
                bench.skip += 60.0
                await until(
                    lambda: bench.router.gate.health().state != "leaving_advice"
                )
                refused = await bench.chat()
                async for chunk in stream:
                    received += chunk
        assert still_served.is_whole
        assert refused.json()["reason"] == "draining"
        assert refused.json()["run_state"] == "not_run"
        assert ChatReply(200, {}, received).is_whole
        assert bench.keeper.balances[BUDGET] == BALANCE - ends.consumed()
        assert bench.router.settler.unaccepted == 0


@async_test
async def test_drain_limit_stops_runs_at_their_engines():
    """A run in progress at the limit is cancelled, ends with an error and is billed."""
    async with served_router(BALANCE) as (bench, ends):
        async with anyio.create_task_group() as tasks:
            body = chat_body(900)
            async with bench.open("POST", CHAT, body) as response:
                stream = response.aiter_stream()
                received = await anext(stream)
                tasks.start_soon(bench.router.drain.run)
                await until(lambda: True in bench.keeper.draining)
                bench.skip += 100_000.0
                async for chunk in stream:
                    received += chunk
        assert b"event: error" in received
        assert b"[DONE]" not in received
        assert [run.cancelled for run in ends.runs()] == [True]
        assert bench.keeper.balances[BUDGET] == BALANCE - ends.consumed()
