from __future__ import annotations

import anyio
import msgspec

from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.process.router.resuming_stream import RESUME_LIMIT
from tests.async_test import async_test
from tests.process.router.chat_reply import ChatReply
from tests.process.router.router_bench import (
    BUDGET,
    CHAT,
    MODEL,
    RouterBench,
    chat_body,
    served_router,
    until,
)
from tests.standins.answer_text import answer_text

BALANCE = 100_000


def problem_of(reply: ChatReply) -> dict:
    """Return the problem document that ends an incomplete stream."""
    event = reply.events()[-1]
    assert event.startswith(b"event: error\ndata: ")
    return msgspec.json.decode(event.partition(b"data: ")[2])


async def settled(bench: RouterBench) -> None:
    """Wait until no usage or settlement is pending."""
    router = bench.router
    await until(lambda: router.collector.pending == router.settler.unaccepted == 0)


@async_test
async def test_cut_stream_is_resumed_at_its_engine():
    """The caller gets one complete answer of one run, which is billed once."""
    async with served_router() as (bench, ends):
        ends.switch(cut_streams=1, cut_after_parts=3)
        reply = await bench.chat(8, X_Request_Id="r")
        (run,) = ends.runs()
        assert reply.is_whole
        assert reply.text() == answer_text(run.run_id, 8)
        await settled(bench)
        assert bench.keeper.billed() == [("mill/r", ends.consumed())]
        assert bench.metrics.counts["retry.stream_resumed"] >= 1


@async_test
async def test_parts_of_another_run_are_dropped():
    """Parts of a stream for another run are not sent to the caller."""
    async with served_router() as (bench, ends):
        ends.switch(wrong_streams=1)
        reply = await bench.chat(8)
        assert reply.is_whole
        assert reply.text() in {answer_text(run.run_id, 8) for run in ends.runs()}


@async_test
async def test_engine_lost_before_the_first_part_is_followed_by_another():
    """If an engine fails before its first part, another one answers the request."""
    async with served_router() as (bench, ends):
        ends.switch(prefill_seconds=3600.0, cached_prefill_seconds=3600.0)
        async with anyio.create_task_group() as tasks:
            replies = []

            async def ask() -> None:
                replies.append(await bench.chat(4, X_Request_Id="r"))

            tasks.start_soon(ask)
            await until(lambda: any(run.started_at for run in ends.runs()))
            ends.switch(prefill_seconds=0.0)
            next(engine for engine in ends.engines if engine.ledger).crash()
        assert replies[0].is_whole
        assert len(ends.runs()) == 2
        assert replies[0].text() == answer_text(bench_run(ends), 4)


def bench_run(ends) -> str:
    (finished,) = [run.run_id for run in ends.runs() if run.finished]
    return finished


@async_test
async def test_answer_cut_for_good_never_looks_whole():
    """If an engine fails after a part was sent, the stream ends with an error event."""
    async with served_router() as (bench, ends):
        body = chat_body(900)
        async with bench.open("POST", CHAT, body) as response:
            stream = response.aiter_stream()
            received = await anext(stream)
            next(engine for engine in ends.engines if engine.ledger).crash()
            async for chunk in stream:
                received += chunk
        reply = ChatReply(200, {}, received)
        assert not reply.is_whole
        assert b"[DONE]" not in received
        assert problem_of(reply)["reason"] == "truncated"
        assert problem_of(reply)["run_state"] == "ran"
        assert len(ends.runs()) == 1


@async_test
async def test_model_route_that_is_not_repeatable_runs_once():
    """A key sent again gets the recorded answer; without one, outcome_unknown."""
    async with served_router() as (bench, ends):
        bench.keeper.put("rule", "once", Rule(MODEL))
        await until(lambda: bench.router.gate.health().config_offset >= 7)
        first = await bench.chat(5, Idempotency_Key="k1")
        again = await bench.chat(5, Idempotency_Key="k1")
        assert first.is_whole and again.is_whole
        assert again.text() == first.text()
        assert len(ends.runs()) == 1
        ends.switch(prefill_seconds=3600.0, cached_prefill_seconds=3600.0)
        async with anyio.create_task_group() as tasks:
            replies = []

            async def ask() -> None:
                replies.append(await bench.chat(6, Idempotency_Key="k2"))

            tasks.start_soon(ask)
            await until(lambda: len(ends.runs()) == 2)
            for engine in ends.engines:
                engine.crash()
        replies.append(await bench.chat(6, Idempotency_Key="k2"))
        assert [r.json()["reason"] for r in replies] == ["outcome_unknown"] * 2
        assert len(ends.runs()) == 2


@async_test
async def test_request_that_crashes_engines_is_refused():
    """After two crashes the content is refused, at this router and others."""
    async with served_router() as (bench, ends):
        other = RouterBench(bench.keeper, "bravo")
        async with other.running():
            await other.ready()
            messages = [{"role": "user", "content": "CRASH-ENGINE"}]
            body = chat_body(messages=messages)
            replies = [await bench.request("POST", CHAT, body) for _ in range(3)]
            await bench.router.entry.poll()
            await other.router.entry.poll()
            replies.append(await other.request("POST", CHAT, body))
            assert (await other.chat()).is_whole
        assert [r.json()["reason"] for r in replies[-2:]] == ["poisonous"] * 2
        assert sum(run.crashed for run in ends.runs()) == 2


@async_test
async def test_same_request_sent_twice_has_one_run_and_one_bill():
    """The second caller gets the complete answer, the first one the reason moved."""
    async with served_router() as (bench, ends):
        body = chat_body(300)
        async with bench.open("POST", CHAT, body, X_Request_Id="r") as response:
            stream = response.aiter_stream()
            received = await anext(stream)
            second = await bench.chat(300, X_Request_Id="r")
            async for chunk in stream:
                received += chunk
        third = await bench.chat(300, X_Request_Id="r")
        other = await bench.chat(299, X_Request_Id="r")
        (run,) = ends.runs()
        assert second.text() == third.text() == answer_text(run.run_id, 300)
        assert second.is_whole and third.is_whole
        assert problem_of(ChatReply(200, {}, received))["reason"] == "moved"
        assert other.json()["reason"] == "key_reused"
        await settled(bench)
        assert bench.keeper.billed() == [("mill/r", ends.consumed())]


@async_test
async def test_retry_at_another_router_resumes_the_run():
    """The second router continues the run; leaving the first does not cancel it."""
    async with served_router() as (bench, ends):
        other = RouterBench(bench.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with bench.open("POST", CHAT, body, X_Request_Id="r") as response:
                first = response.aiter_stream()
                await anext(first)
                async with other.open("POST", CHAT, body, X_Request_Id="r") as second:
                    stream = second.aiter_stream()
                    received = await anext(stream)
                    await first.aclose()
                    async for chunk in stream:
                        received += chunk
            await settled(bench)
            await settled(other)
        (run,) = ends.runs()
        reply = ChatReply(200, {}, received)
        assert reply.is_whole
        assert reply.text() == answer_text(run.run_id, 300)
        figures = {(key, tokens) for key, tokens in bench.keeper.billed()}
        assert figures == {("mill/r", ends.consumed())}


@async_test
async def test_caller_that_leaves_one_router_for_another_gets_its_answer():
    """A retry right after leaving another router gets a complete answer.

    The run at the first router is being cancelled then. The second router must not
    publish its incomplete answer.
    """
    async with served_router() as (bench, ends):
        other = RouterBench(bench.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with bench.open("POST", CHAT, body, X_Request_Id="r") as response:
                await anext(response.aiter_stream())
            reply = await other.chat(300, X_Request_Id="r")
        assert reply.is_whole
        assert reply.text() in {answer_text(run.run_id, 300) for run in ends.runs()}


@async_test
async def test_retry_after_a_router_was_killed_resumes_its_run():
    """The router that resumes the run of a killed router settles it, once."""
    async with served_router() as (bench, ends):
        body = chat_body(300)
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()

            async def live_and_die() -> None:
                killed = RouterBench(bench.keeper, "bravo")
                async with killed.running():
                    await killed.ready()
                    async with killed.open(
                        "POST", CHAT, body, X_Request_Id="r"
                    ) as response:
                        stream = response.aiter_stream()
                        await anext(stream)
                        started.set()
                        await anyio.sleep_forever()

            tasks.start_soon(live_and_die)
            await started.wait()
            bench.keeper.silent = {"Settle"}
            tasks.cancel_scope.cancel()
        bench.keeper.silent = set()
        reply = await bench.chat(300, X_Request_Id="r")
        (run,) = ends.runs()
        assert reply.is_whole
        assert reply.text() == answer_text(run.run_id, 300)
        await settled(bench)
        assert bench.keeper.billed() == [("mill/r", ends.consumed())]


@async_test
async def test_retry_does_not_get_a_run_that_was_stopped():
    """If a hint leads to a cancelled run, the router starts a new one."""
    async with served_router() as (bench, ends):
        other = RouterBench(bench.keeper, "bravo")
        async with other.running():
            await other.ready()
            body = chat_body(300)
            async with bench.open("POST", CHAT, body, X_Request_Id="r") as response:
                await anext(response.aiter_stream())
                hint = bench.keeper.located["mill/r"]
            await until(bench.keeper.billed)
            bench.keeper.located["mill/r"] = hint
            reply = await other.chat(300, X_Request_Id="r")
        assert reply.is_whole
        assert [run.finished for run in ends.runs()] == [False, True]


@async_test
async def test_abandoned_runs_are_settled_after_the_answer():
    """The run that was answered is settled first: the first settlement is billed."""
    async with served_router() as (bench, ends):
        ends.switch(cut_streams=1 + RESUME_LIMIT, cut_after_parts=0)
        reply = await bench.chat(4, X_Request_Id="r")
        assert reply.is_whole
        await settled(bench)
        settlements = list(bench.keeper.settlements.values())
        assert [entry.outcome for entry in settlements] == ["finished", "cut", "cut"]
        assert reply.text() == answer_text(settlements[0].run_id, 4)
        assert sum(entry.tokens for entry in settlements) == ends.consumed()


@async_test
async def test_settlement_waits_for_a_silent_keeper():
    """A settlement is repeated until it is accepted; callers do not wait for it."""
    async with served_router() as (bench, ends):
        bench.keeper.silent = {"Settle"}
        assert (await bench.chat(4, X_Request_Id="r")).is_whole
        await until(lambda: bench.metrics.counts["retry.keeper_unreachable"] >= 2)
        assert bench.keeper.billed() == []
        bench.keeper.silent = set()
        await settled(bench)
        assert bench.keeper.billed() == [("mill/r", ends.consumed())]


@async_test
async def test_lost_replies_of_the_keeper_change_no_bill():
    """Draws and settlements with lost replies are repeated, but applied once."""
    async with served_router(BALANCE) as (bench, ends):
        bench.keeper.lost_replies.update({"Draw": 2, "Settle": 2})
        for number in range(3):
            assert (await bench.chat(4, X_Request_Id=f"r{number}")).is_whole
        await settled(bench)
        bench.keeper.lost_replies["Settle"] = 2
        bench.router.allowances.return_free()
        await settled(bench)
        assert sum(tokens for _, tokens in bench.keeper.billed()) == ends.consumed()
        assert bench.keeper.balances[BUDGET] == BALANCE - ends.consumed()


@async_test
async def test_bill_waits_for_an_engine_that_cannot_be_asked():
    """The cancel is repeated until the engine reports the usage, which is billed."""
    async with served_router(BALANCE) as (bench, ends):
        engines = [bench.router.directory.engine(f"engine-{n}") for n in (0, 1)]
        cancels = [engine.cancel for engine in engines]
        asked = 0

        async def no_reply(run_id: str):
            nonlocal asked
            asked += 1
            raise TimeoutError

        for engine in engines:
            engine.cancel = no_reply
        body = chat_body(900)
        async with bench.open("POST", CHAT, body, X_Request_Id="r") as response:
            await anext(response.aiter_stream())
        await until(lambda: asked >= 2)
        assert bench.keeper.billed() == []
        assert bench.router.collector.pending == 1
        for engine, cancel in zip(engines, cancels, strict=True):
            engine.cancel = cancel
        await settled(bench)
        assert bench.keeper.billed() == [("mill/r", ends.consumed())]
