from __future__ import annotations

import dataclasses

import anyio
import msgspec

from knapweeddrum.endpoint.exceptions import (
    EndpointBusyError,
    EndpointConnectError,
    EndpointError,
    InvalidRequestError,
    StreamCutError,
    UnknownRunError,
    WrongStreamError,
)
from knapweeddrum.endpoint.http_model_engine import HttpModelEngine
from knapweeddrum.endpoint.run_usage import RunUsage
from tests.assertions import raises
from tests.async_test import async_test
from tests.endpoint.engine_fixture import collect, model_request, served_engine
from tests.standins.answer_text import answer_text
from tests.standins.raw_server import RESET, RawServer, event_reply, json_reply

FOREVER_SECONDS = 3600.0


def part_json(index: int, *, final: bool = False, run_id: str = "r") -> bytes:
    fields = {
        "run_id": run_id,
        "index": index,
        "text": str(index),
        "final": final,
        "prompt_tokens": 1,
        "output_tokens": index + 1,
    }
    return msgspec.json.encode(fields)


@async_test
async def test_stream_has_the_complete_answer():
    """Parts arrive in order; the last one is final and has the usage of the run."""
    async with served_engine() as (app, engine):
        parts = await collect(engine.stream(model_request("r", tokens=5)))
        assert "".join(part.text for part in parts) == answer_text("r", 5)
        assert [part.index for part in parts] == [0, 1, 2, 3, 4]
        assert [part.final for part in parts] == [False] * 4 + [True]
        assert (parts[-1].prompt_tokens, parts[-1].output_tokens) == (2, 5)
        assert await engine.usage("r") == RunUsage("r", 2, 5, running=False)
        assert [run.posts for run in app.ledger] == [1]


@async_test
async def test_output_limit_ends_the_answer():
    """The engine stops at the output limit and gives the reason."""
    req = dataclasses.replace(model_request("r", tokens=9), output_limit=3)
    async with served_engine() as (_, engine):
        parts = await collect(engine.stream(req))
    assert (len(parts), parts[-1].finish_reason) == (3, "length")


@async_test
async def test_cut_stream_resumes_without_a_second_run():
    """After a cut, a resumed stream delivers the rest of the same run."""
    async with served_engine(cut_streams=1, cut_after_parts=2) as (app, engine):
        held = []
        with raises(StreamCutError):
            await collect(engine.stream(model_request("r")), held)
        assert len(held) == 2
        await collect(engine.resume("r", 2), held)
        assert "".join(part.text for part in held) == answer_text("r", 5)
        assert len(app.ledger) == 1


@async_test
async def test_start_of_a_known_run_attaches_to_it():
    """A second start of a run gets its parts from 0 and generates nothing new."""
    async with served_engine() as (app, engine):
        first = await collect(engine.stream(model_request("r")))
        assert await collect(engine.stream(model_request("r"))) == first
        assert [run.posts for run in app.ledger] == [2]


@async_test
async def test_part_of_another_run_is_rejected():
    """A part of another run raises WrongStreamError and is not returned."""
    async with served_engine(wrong_streams=1) as (_, engine):
        held = []
        with raises(WrongStreamError):
            await collect(engine.stream(model_request("r")), held)
        assert held == []


@async_test
async def test_cancel_may_be_repeated():
    """Cancelling stops the run and frees its slot; repeating gives the same usage."""
    async with served_engine(slots=1) as (app, engine):
        app.set_switches(token_seconds=FOREVER_SECONDS)
        async with engine.stream(model_request("r")) as parts:
            usage = await engine.cancel("r")
            rest = [part async for part in parts]
        assert [part.finish_reason for part in rest] == ["cancelled"]
        assert (usage.output_tokens, usage.running) == (0, False)
        assert await engine.cancel("r") == usage
        app.set_switches(token_seconds=0.0)
        assert len(await collect(engine.stream(model_request("s")))) == 5
        with raises(UnknownRunError):
            await engine.cancel("unknown")


@async_test
async def test_leaving_a_stream_does_not_stop_its_run():
    """After the context of a stream is left, its run goes on and can be resumed."""
    async with served_engine() as (_, engine):
        async with engine.stream(model_request("r", tokens=50)):
            pass
        parts = await collect(engine.resume("r", 0))
        assert len(parts) == 50


@async_test
async def test_leaving_or_cancelling_a_stream_closes_its_connection():
    """The connection of a stream in progress is closed with its context."""
    unfinished = event_reply(part_json(0), part_json(1, final=True))[:-1]
    for cancelled in (False, True):
        server = RawServer([unfinished])
        async with server.serve() as url, HttpModelEngine.connect(url) as engine:
            with anyio.CancelScope() as scope:
                async with engine.stream(model_request("r")) as parts:
                    await anext(parts)
                    if cancelled:
                        scope.cancel()
                        await anext(parts)
            assert scope.cancelled_caught == cancelled
            await server.hung_up.wait()


@async_test
async def test_busy_engine_did_not_run():
    """A full queue and a refusal raise EndpointBusyError with its retry-after."""
    async with served_engine(queue_limit=0) as (app, engine):
        with raises(EndpointBusyError) as held:
            await collect(engine.stream(model_request("r")))
        assert held[0].retry_after == 1.0
        app.set_switches(queue_limit=10, refuse=True)
        with raises(EndpointBusyError):
            await collect(engine.stream(model_request("r")))
        assert app.ledger == []


@async_test
async def test_crash_cuts_all_streams():
    """A request that crashes the engine cuts every stream and loses every run."""
    async with served_engine() as (app, engine):
        app.set_switches(token_seconds=FOREVER_SECONDS)
        async with engine.stream(model_request("other")) as parts:
            with raises(StreamCutError):
                await collect(engine.stream(model_request("r", content="CRASH-ENGINE")))
            with raises(StreamCutError):
                await anext(parts)
        with raises(UnknownRunError):
            await collect(engine.resume("r", 0))
        assert [run.crashed for run in app.ledger] == [True, True]


@async_test
async def test_unreachable_engine_was_sent_nothing():
    """Without a server, ``stream``, ``cancel`` and ``load`` raise a connect error."""
    async with served_engine() as (_, engine):
        pass
    with raises(EndpointConnectError):
        await collect(engine.stream(model_request("r")))
    with raises(EndpointConnectError):
        await engine.cancel("r")
    with raises(EndpointConnectError):
        await engine.load()


@async_test
async def test_body_can_not_change_the_fields_around_it():
    """A body that is not exactly one JSON value is rejected before it is sent."""
    async with served_engine() as (app, engine):
        for body in (b'{}, "output_limit": 9', b"", b"{"):
            req = dataclasses.replace(model_request("r"), body=body)
            with raises(InvalidRequestError):
                await collect(engine.stream(req))
        assert app.ledger == []


@async_test
async def test_cache_events_come_with_gaps_and_late():
    """Lost events leave a gap in the sequence; recent events are not reported yet."""
    async with served_engine(cache_gap_every=2) as (app, engine):
        for run_id in ("a", "b", "c"):
            await collect(engine.stream(model_request(run_id, content=run_id)))
        events = await engine.cache_events(0)
        assert [event.sequence for event in events] == [1, 3]
        assert await engine.cache_events(3) == ()
        app.set_switches(cache_lag_seconds=FOREVER_SECONDS)
        assert await engine.cache_events(0) == ()


@async_test
async def test_load_report_lags():
    """The report has the load at an earlier time."""
    async with served_engine(slots=1) as (app, engine):
        app.set_switches(token_seconds=FOREVER_SECONDS)
        async with engine.stream(model_request("a")), engine.stream(model_request("b")):
            load = await engine.load()
            assert (load.running, load.queued, load.slots) == (1, 1, 1)
            app.set_switches(load_lag_seconds=FOREVER_SECONDS)
            load = await engine.load()
            assert (load.running, load.queued) == (0, 0)


@async_test
async def test_repeated_parts_are_dropped():
    """Parts that the engine repeats are returned once."""
    order = (0, 0, 1, 0, 1, 2)
    events = [part_json(index, final=index == 2) for index in order]
    server = RawServer([event_reply(*events)])
    async with server.serve() as url, HttpModelEngine.connect(url) as engine:
        parts = await collect(engine.stream(model_request("r")))
    assert [part.index for part in parts] == [0, 1, 2]


@async_test
async def test_faulty_streams_never_look_complete():
    """A gap, a missing end, bad JSON or an oversized part raises an endpoint error."""
    cases = (
        (StreamCutError, event_reply(part_json(0), part_json(2, final=True))),
        (StreamCutError, event_reply(part_json(0))),
        (StreamCutError, event_reply(part_json(0), part_json(1, final=True))[:-1]),
        (StreamCutError, RESET),
        (EndpointError, event_reply(b"{")),
        (EndpointError, event_reply(b'{"run_id": "r"}')),
        (EndpointError, event_reply(b'"' + b"x" * 100_000)),
        (EndpointError, b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
    )
    for expected, reply in cases:
        server = RawServer([reply], hang_up=True)
        async with server.serve() as url, HttpModelEngine.connect(url) as engine:
            with raises(expected):
                await collect(engine.stream(model_request("r")))
        assert server.requests == 1


@async_test
async def test_malformed_replies_raise_endpoint_error():
    """A reply that violates the protocol raises EndpointError and nothing else."""
    usage = b'{"run_id":"r","prompt_tokens":-1,"output_tokens":0,"running":true}'
    server = RawServer([json_reply(b"{"), json_reply(b"[]"), json_reply(usage)])
    async with server.serve() as url, HttpModelEngine.connect(url) as engine:
        for call in (engine.load(), engine.cache_events(0), engine.usage("r")):
            with raises(EndpointError):
                await call


@async_test
async def test_usage_of_another_run_is_rejected():
    """Usage that names another run is not billed to this one."""
    usage = b'{"run_id":"s","prompt_tokens":1,"output_tokens":0,"running":true}'
    server = RawServer([json_reply(usage)])
    async with server.serve() as url, HttpModelEngine.connect(url) as engine:
        with raises(WrongStreamError):
            await engine.usage("r")
