from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.router.chat_reply import ChatReply
from tests.process.router.router_harness import (
    BUDGET,
    CHAT,
    chat_body,
    run_router,
    wait_until,
)

BALANCE = 100_000


@async_test
async def test_drain_completes_streams_and_returns_allowances():
    """A stream is completed, new requests are refused, allowances are returned."""
    async with run_router(BALANCE) as (harness, endpoints):
        async with anyio.create_task_group() as tasks:
            body = chat_body(300)
            async with harness.send("POST", CHAT, body) as response:
                stream = response.aiter_stream()
                received = await anext(stream)
                tasks.start_soon(harness.router.drain.run)
                await wait_until(lambda: True in harness.keeper.draining)
                assert (await harness.request("GET", "/v1/entry")).status == 503
                still_served = await harness.chat(2)
                harness.clock_offset += 60.0
                await wait_until(
                    lambda: harness.router.gate.health().state != "leaving_advice"
                )
                refused = await harness.chat()
                async for chunk in stream:
                    received += chunk
        assert still_served.is_complete
        assert refused.json()["reason"] == "draining"
        assert refused.json()["run_state"] == "not_run"
        assert ChatReply(200, {}, received).is_complete
        assert harness.keeper.balances[BUDGET] == BALANCE - endpoints.consumed()
        assert harness.router.settler.unaccepted_entries == 0


@async_test
async def test_drain_limit_stops_runs_at_their_engines():
    """A run in progress at the limit is cancelled, ends with an error and is billed."""
    async with run_router(BALANCE) as (harness, endpoints):
        async with anyio.create_task_group() as tasks:
            body = chat_body(900)
            async with harness.send("POST", CHAT, body) as response:
                stream = response.aiter_stream()
                received = await anext(stream)
                tasks.start_soon(harness.router.drain.run)
                await wait_until(lambda: True in harness.keeper.draining)
                harness.clock_offset += 100_000.0
                async for chunk in stream:
                    received += chunk
        assert b"event: error" in received
        assert b"[DONE]" not in received
        assert [run.cancelled for run in endpoints.runs()] == [True]
        assert harness.keeper.balances[BUDGET] == BALANCE - endpoints.consumed()
