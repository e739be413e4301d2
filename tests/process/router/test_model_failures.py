from __future__ import annotations

import anyio
import msgspec

from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.process.router.resuming_stream import RESUME_LIMIT
from tests.async_test import async_test
from tests.process.router.chat_reply import ChatReply
from tests.process.router.router_harness import (
    BUDGET,
    CHAT,
    MODEL,
    RouterHarness,
    chat_body,
    run_router,
    wait_until,
)
from tests.standins.answer_text import answer_text

BALANCE = 100_000


def final_problem(reply: ChatReply) -> dict:
    """Return the problem document that ends an incomplete stream."""
    event = reply.events()[-1]
    assert event.startswith(b"event: error\ndata: ")
    return msgspec.json.decode(event.partition(b"data: ")[2])


async def wait_settled(harness: RouterHarness) -> None:
    """Wait until no usage or settlement is pending."""
    router = harness.router
    await wait_until(
        lambda: router.collector.pending_runs == router.settler.unaccepted_entries == 0
    )


@async_test
async def test_cut_stream_is_resumed_at_its_engine():
    """The caller gets one complete answer of one run, which is billed once."""
    async with run_router() as (harness, endpoints):
        endpoints.switch(cut_streams=1, cut_after_parts=3)
        reply = await harness.chat(8, X_Request_Id="r")
        (run,) = endpoints.runs()
        assert reply.is_complete
        assert reply.text() == answer_text(run.run_id, 8)
        await wait_settled(harness)
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]
        assert harness.metrics.counts["retry.stream_resumed"] >= 1


@async_test
async def test_parts_of_another_run_are_dropped():
    """Parts of a stream for another run are not sent to the caller."""
    async with run_router() as (harness, endpoints):
        endpoints.switch(wrong_streams=1)
        reply = await harness.chat(8)
        assert reply.is_complete
        assert reply.text() in {answer_text(run.run_id, 8) for run in endpoints.runs()}


@async_test
async def test_failure_before_the_first_part_is_retried_elsewhere():
    """If an engine fails before its first part, another one answers the request."""
    async with run_router() as (harness, endpoints):
        endpoints.switch(prefill_seconds=3600.0, cached_prefill_seconds=3600.0)
        async with anyio.create_task_group() as tasks:
            replies = []

            async def ask() -> None:
                replies.append(await harness.chat(4, X_Request_Id="r"))

            tasks.start_soon(ask)
            await wait_until(lambda: any(run.started_at for run in endpoints.runs()))
            endpoints.switch(prefill_seconds=0.0)
            next(engine for engine in endpoints.engines if engine.ledger).crash()
        assert replies[0].is_complete
        assert len(endpoints.runs()) == 2
        assert replies[0].text() == answer_text(finished_run_id(endpoints), 4)


def finished_run_id(endpoints) -> str:
    (finished,) = [run.run_id for run in endpoints.runs() if run.finished]
    return finished


@async_test
async def test_incomplete_answer_ends_with_an_error_event():
    """If an engine fails after a part was sent, the stream ends with an error event."""
    async with run_router() as (harness, endpoints):
        body = chat_body(900)
        async with harness.send("POST", CHAT, body) as response:
            stream = response.aiter_stream()
            received = await anext(stream)
            next(engine for engine in endpoints.engines if engine.ledger).crash()
            async for chunk in stream:
                received += chunk
        reply = ChatReply(200, {}, received)
        assert not reply.is_complete
        assert b"[DONE]" not in received
        assert final_problem(reply)["reason"] == "truncated"
        assert final_problem(reply)["run_state"] == "ran"
        assert len(endpoints.runs()) == 1


@async_test
async def test_model_route_that_is_not_repeatable_runs_once():
    """A key sent again gets the recorded answer; without one, outcome_unknown."""
    async with run_router() as (harness, endpoints):
        harness.keeper.put("rule", "once", Rule(MODEL))
        await wait_until(lambda: harness.router.gate.health().config_offset >= 7)
        first = await harness.chat(5, Idempotency_Key="k1")
        again = await harness.chat(5, Idempotency_Key="k1")
        assert first.is_complete and again.is_complete
        assert again.text() == first.text()
        assert len(endpoints.runs()) == 1
        endpoints.switch(prefill_seconds=3600.0, cached_prefill_seconds=3600.0)
        async with anyio.create_task_group() as tasks:
            replies = []

            async def ask() -> None:
                replies.append(await harness.chat(6, Idempotency_Key="k2"))

            tasks.start_soon(ask)
            await wait_until(lambda: len(endpoints.runs()) == 2)
            for engine in endpoints.engines:
                engine.crash()
        replies.append(await harness.chat(6, Idempotency_Key="k2"))
        assert [r.json()["reason"] for r in replies] == ["outcome_unknown"] * 2
        assert len(endpoints.runs()) == 2


@async_test
async def test_request_that_crashes_engines_is_refused():
    """After two crashes the content is refused, at this router and others."""
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            messages = [{"role": "user", "content": "CRASH-ENGINE"}]
            body = chat_body(messages=messages)
            replies = [await harness.request("POST", CHAT, body) for _ in range(3)]
            await harness.router.entry.poll()
            await other.router.entry.poll()
            replies.append(await other.request("POST", CHAT, body))
            assert (await other.chat()).is_complete
        assert [r.json()["reason"] for r in replies[-2:]] == ["poisonous"] * 2
        assert sum(run.crashed for run in endpoints.runs()) == 2


@async_test
async def test_same_request_sent_twice_has_one_run_and_one_bill():
    """The second caller gets the complete answer, the first one the reason moved."""
    async with run_router() as (harness, endpoints):
        body = chat_body(300)
        async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
            stream = response.aiter_stream()
            received = await anext(stream)
            second = await harness.chat(300, X_Request_Id="r")
            async for chunk in stream:
                received += chunk
        third = await harness.chat(300, X_Request_Id="r")
        other = await harness.chat(299, X_Request_Id="r")
        (run,) = endpoints.runs()
        assert second.text() == third.text() == answer_text(run.run_id, 300)
        assert second.is_complete and third.is_complete
        assert final_problem(ChatReply(200, {}, received))["reason"] == "moved"
        assert other.json()["reason"] == "key_reused"
        await wait_settled(harness)
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]


@async_test
async def test_retry_at_another_router_resumes_the_run():
    """The second router continues the run; leaving the first does not cancel it."""
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
                first = response.aiter_stream()
                await anext(first)
                async with other.send("POST", CHAT, body, X_Request_Id="r") as second:
                    stream = second.aiter_stream()
                    received = await anext(stream)
                    await first.aclose()
                    async for chunk in stream:
                        received += chunk
            await wait_settled(harness)
            await wait_settled(other)
        (run,) = endpoints.runs()
        reply = ChatReply(200, {}, received)
        assert reply.is_complete
        assert reply.text() == answer_text(run.run_id, 300)
        bills = {(key, tokens) for key, tokens in harness.keeper.billed()}
        assert bills == {("mill/r", endpoints.consumed())}


@async_test
async def test_retry_right_after_leaving_a_router_is_answered():
    """A retry right after leaving another router gets a complete answer.

    The run at the first router is being cancelled then. The second router must not
    publish its incomplete answer.
    """
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
                await anext(response.aiter_stream())
            reply = await other.chat(300, X_Request_Id="r")
        assert reply.is_complete
        assert reply.text() in {
            answer_text(run.run_id, 300) for run in endpoints.runs()
        }


@async_test
async def test_retry_after_a_router_was_killed_resumes_its_run():
    """The router that resumes the run of a killed router settles it, once."""
    async with run_router() as (harness, endpoints):
        body = chat_body(300)
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()

            async def run_until_killed() -> None:
                killed = RouterHarness(harness.keeper, "bravo")
                async with killed.running():
                    await killed.ready()
                    async with killed.send(
                        "POST", CHAT, body, X_Request_Id="r"
                    ) as response:
                        stream = response.aiter_stream()
                        await anext(stream)
                        started.set()
                        await anyio.sleep_forever()

            tasks.start_soon(run_until_killed)
            await started.wait()
            harness.keeper.unresponsive = {"Settle"}
            tasks.cancel_scope.cancel()
        harness.keeper.unresponsive = set()
        reply = await harness.chat(300, X_Request_Id="r")
        (run,) = endpoints.runs()
        assert reply.is_complete
        assert reply.text() == answer_text(run.run_id, 300)
        await wait_settled(harness)
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]


@async_test
async def test_retry_does_not_get_a_run_that_was_stopped():
    """If a hint leads to a cancelled run, the router starts a new one."""
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
                await anext(response.aiter_stream())
                hint = harness.keeper.hints["mill/r"]
            await wait_until(harness.keeper.billed)
            harness.keeper.hints["mill/r"] = hint
            reply = await other.chat(300, X_Request_Id="r")
        assert reply.is_complete
        assert [run.finished for run in endpoints.runs()] == [False, True]


@async_test
async def test_abandoned_runs_are_settled_after_the_answer():
    """The run that was answered is settled first: the first settlement is billed."""
    async with run_router() as (harness, endpoints):
        endpoints.switch(cut_streams=1 + RESUME_LIMIT, cut_after_parts=0)
        reply = await harness.chat(4, X_Request_Id="r")
        assert reply.is_complete
        await wait_settled(harness)
        settlements = list(harness.keeper.settlements.values())
        assert [entry.outcome for entry in settlements] == ["finished", "cut", "cut"]
        assert reply.text() == answer_text(settlements[0].run_id, 4)
        assert sum(entry.tokens for entry in settlements) == endpoints.consumed()


@async_test
async def test_settlement_waits_for_an_unresponsive_keeper():
    """A settlement is repeated until it is accepted; callers do not wait for it."""
    async with run_router() as (harness, endpoints):
        harness.keeper.unresponsive = {"Settle"}
        assert (await harness.chat(4, X_Request_Id="r")).is_complete
        await wait_until(
            lambda: harness.metrics.counts["retry.keeper_unreachable"] >= 2
        )
        assert harness.keeper.billed() == []
        harness.keeper.unresponsive = set()
        await wait_settled(harness)
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]


@async_test
async def test_lost_keeper_replies_do_not_change_settlements():
    """Draws and settlements with lost replies are repeated, but applied once."""
    async with run_router(BALANCE) as (harness, endpoints):
        harness.keeper.lost_replies.update({"Draw": 2, "Settle": 2})
        for number in range(3):
            assert (await harness.chat(4, X_Request_Id=f"r{number}")).is_complete
        await wait_settled(harness)
        harness.keeper.lost_replies["Settle"] = 2
        harness.router.allowances.return_free()
        await wait_settled(harness)
        assert (
            sum(tokens for _, tokens in harness.keeper.billed()) == endpoints.consumed()
        )
        assert harness.keeper.balances[BUDGET] == BALANCE - endpoints.consumed()


@async_test
async def test_settlement_waits_for_an_unreachable_engine():
    """The cancel is repeated until the engine reports the usage, which is billed."""
    async with run_router(BALANCE) as (harness, endpoints):
        engines = [harness.router.directory.engine(f"engine-{n}") for n in (0, 1)]
        cancels = [engine.cancel for engine in engines]
        cancel_calls = 0

        async def no_reply(run_id: str):
            nonlocal cancel_calls
            cancel_calls += 1
            raise TimeoutError

        for engine in engines:
            engine.cancel = no_reply
        body = chat_body(900)
        async with harness.send("POST", CHAT, body, X_Request_Id="r") as response:
            await anext(response.aiter_stream())
        await wait_until(lambda: cancel_calls >= 2)
        assert harness.keeper.billed() == []
        assert harness.router.collector.pending_runs == 1
        for engine, cancel in zip(engines, cancels, strict=True):
            engine.cancel = cancel
        await wait_settled(harness)
        assert harness.keeper.billed() == [("mill/r", endpoints.consumed())]
