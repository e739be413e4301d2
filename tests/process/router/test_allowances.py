from __future__ import annotations

import anyio

from knapweeddrum.process.router.allowance_manager import IDLE_ALLOWANCE_TIMEOUT_SECONDS
from tests.async_test import async_test
from tests.process.router.router_bench import (
    BUDGET,
    CHAT,
    chat_body,
    served_router,
    until,
)

TOKENS = 200
BALANCE = 500
"""Enough for the reservation of one request of TOKENS, but not of two."""


@async_test
async def test_request_waits_for_tokens_that_others_will_free():
    """A request waits while tokens reserved by others may be released in time."""
    async with served_router(BALANCE) as (bench, ends):
        replies = []

        async def ask() -> None:
            replies.append(await bench.chat(TOKENS, Knapweed_Deadline="20"))

        async with bench.open("POST", CHAT, chat_body(TOKENS)) as response:
            first = response.aiter_stream()
            await anext(first)
            ends.switch(token_seconds=3600.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await until(lambda: len(bench.keeper.draws) == 2)
                ends.switch(token_seconds=0.001)
                await first.aclose()
        assert replies[0].is_whole
        assert ends.consumed() <= BALANCE


@async_test
async def test_requests_share_one_draw():
    """While a draw of a budget is in flight, no second draw is sent."""
    async with served_router() as (bench, _):
        draw = bench.keeper._draw
        may_reply = anyio.Event()
        sent = []

        async def draw_later(req):
            sent.append(req)
            await may_reply.wait()
            return await draw(req)

        bench.keeper._draw = draw_later
        async with anyio.create_task_group() as tasks:
            for number in range(1, 6):
                tasks.start_soon(bench.chat, 2)
                await until(lambda: bench.router.gate.in_progress == number)  # noqa: B023
                await until(lambda: sent)
            may_reply.set()
        assert len(sent) <= 2
        assert bench.metrics.counts["answered"] == 5


@async_test
async def test_idle_allowances_go_back():
    """Free tokens return to the keeper after an idle time, consumed ones do not."""
    async with served_router(10_000) as (bench, ends):
        await bench.chat(4)
        bench.skip += IDLE_ALLOWANCE_TIMEOUT_SECONDS
        left = 10_000 - ends.consumed()
        await until(lambda: bench.keeper.balances[BUDGET] == left)
