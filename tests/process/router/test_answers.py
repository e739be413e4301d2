from __future__ import annotations

from tests.async_test import async_test
from tests.process.router.router_harness import (
    CHAT,
    chat_body,
    run_router,
    wait_until,
)
from tests.standins.answer_text import answer_text


@async_test
async def test_streamed_answer_is_complete_and_billed_by_the_engines_usage():
    """The stream has the engine's text, its usage and DONE; it is billed once."""
    async with run_router() as (harness, endpoints):
        reply = await harness.chat(5, X_Request_Id="r1")
        (run,) = endpoints.runs()
        assert reply.status == 200
        assert reply.headers["x-request-id"] == "r1"
        assert reply.is_complete
        assert reply.text() == answer_text(run.run_id, 5)
        assert b'"total_tokens":%d' % endpoints.consumed() in reply.body
        await wait_until(harness.keeper.billed)
        assert harness.keeper.billed() == [("mill/r1", endpoints.consumed())]


@async_test
async def test_answer_without_streaming():
    """Without ``stream`` the answer is one JSON document with the usage."""
    async with run_router() as (harness, endpoints):
        reply = await harness.request("POST", CHAT, chat_body(4, stream=False))
        (run,) = endpoints.runs()
        answer = reply.json()
        assert answer["choices"][0]["message"]["content"] == answer_text(run.run_id, 4)
        assert answer["usage"]["total_tokens"] == endpoints.consumed()


@async_test
async def test_cancel_reaches_the_engine_and_bills_its_usage():
    """A run whose caller leaves is cancelled; the tokens consumed are billed."""
    async with run_router() as (harness, endpoints):
        body = chat_body(900)
        async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
            await anext(response.aiter_stream())
        await wait_until(harness.keeper.billed)
        (run,) = endpoints.runs()
        assert run.cancelled
        assert run.output_tokens < 900
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]
