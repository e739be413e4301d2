from __future__ import annotations

import anyio

from knapweeddrum.process.router.allowance_manager import IDLE_ALLOWANCE_TIMEOUT_SECONDS
from tests.async_test import async_test
from tests.process.router.router_harness import (
    BUDGET,
    CHAT,
    chat_body,
    run_router,
    wait_until,
)

TOKENS = 200
BALANCE = 500
"""Enough to reserve TOKENS and the prompt for one request, but not for two."""


@async_test
async def test_request_waits_for_tokens_that_others_may_release():
    """A request waits, up to its timeout, for tokens that others may release."""
    async with run_router(BALANCE) as (harness, endpoints):
        replies = []

        async def ask() -> None:
            replies.append(await harness.chat(TOKENS, Knapweed_Deadline="20"))

        async with harness.send("POST", CHAT, chat_body(TOKENS)) as response:
            first = response.aiter_stream()
            await anext(first)
            endpoints.switch(token_seconds=3600.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await wait_until(lambda: len(harness.keeper.draws) == 2)
                endpoints.switch(token_seconds=0.001)
                await first.aclose()
        assert replies[0].is_complete
        assert endpoints.consumed() <= BALANCE


@async_test
async def test_requests_share_one_draw():
    """While a draw of a budget is in flight, no second draw is sent."""
    async with run_router() as (harness, _):
        draw = harness.keeper._draw
        may_reply = anyio.Event()
        sent = []

        async def draw_later(req):
            sent.append(req)
            await may_reply.wait()
            return await draw(req)

        harness.keeper._draw = draw_later
        async with anyio.create_task_group() as tasks:
            for number in range(1, 6):
                tasks.start_soon(harness.chat, 2)
                await wait_until(lambda: harness.router.gate.in_progress == number)  # noqa: B023
                await wait_until(lambda: sent)
            may_reply.set()
        assert len(sent) <= 2
        assert harness.metrics.counts["answered"] == 5


@async_test
async def test_idle_allowances_are_returned():
    """Free tokens return to the keeper after an idle time, consumed ones do not."""
    async with run_router(10_000) as (harness, endpoints):
        await harness.chat(4)
        harness.clock_offset += IDLE_ALLOWANCE_TIMEOUT_SECONDS
        left = 10_000 - endpoints.consumed()
        await wait_until(lambda: harness.keeper.balances[BUDGET] == left)
