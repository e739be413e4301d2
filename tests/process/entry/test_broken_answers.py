from __future__ import annotations

import itertools
import signal

import anyio

from knapweeddrum.value.body_framing import BodyFraming
from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    HOST_NAME,
    KEY,
    POLL_INTERVAL_SECONDS,
    Answer,
    EntryHarness,
    entry_harness,
)
from tests.standins.scripted_server import (
    STREAM_TYPE,
    Ending,
    Script,
    ScriptedServer,
    event,
)

EVENTS = 4
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))
INSIDE_FIRST_LINE = (event(1), event(2), b"id: 3\nda")
AFTER_LAST_LINE = (event(1), event(2), b"id: 3\ndata: piece 3\n")
BROKEN_BODIES = (INSIDE_FIRST_LINE, AFTER_LAST_LINE)
DRAIN_NOTICE_SECONDS = 0.9
"""Pause in an answer in which the host reads that its endpoint leaves."""

NOT_RESUMABLE, RESUMABLE = "/draft/1", "/query/1"


def servers(*scripts: Script) -> tuple[ScriptedServer, ...]:
    """Return three engines, the first run at any of which follows the script."""
    shared = list(scripts)
    return tuple(ScriptedServer(f"e-{n}", shared, events=EVENTS) for n in range(3))


def services(*scripts: Script) -> tuple[ScriptedServer, ...]:
    """Return two plain services, the first run at any of which follows the script."""
    shared = list(scripts)
    return tuple(ScriptedServer(f"s-{n}", shared, body=b"booked") for n in range(2))


def runs(fleet: tuple[ScriptedServer, ...]) -> int:
    """Return how often the servers ran a request."""
    return sum(len(server.runs) for server in fleet)


async def call(harness: EntryHarness, path: str) -> Answer:
    """Send a prompt and return its answer."""
    return await harness.call(path, tokens="35,60")


async def call_while_draining(
    harness: EntryHarness, fleet: tuple[ScriptedServer, ...], path: str
) -> Answer:
    """Return an answer whose endpoint has said before its end that it leaves."""
    answers: list[Answer] = []
    service = "stock" if path in {"/book/1", "/read/1"} else "engine"
    tokens = None if service == "stock" else "35,60"

    async def send() -> None:
        answers.append(await harness.call(path, tokens=tokens))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        while not runs(fleet):
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        (server,) = [server for server in fleet if server.runs]
        entry = server.entry(service, state="draining")
        harness.store.put("keyed.servers", server.server_id, entry)
        await harness.wait_for_event("endpoint_listed", len(fleet) + 1)
        assert not answers
    return answers[0]


@async_test
async def test_stream_that_ended_inside_an_event_never_looks_complete():
    """A stream that can't be resumed is cut at the caller as well."""
    kinds = itertools.product(BROKEN_BODIES, BodyFraming, (STREAM_TYPE, b""))
    for body, framing, content_type in kinds:
        fleet = servers(Script(body, framing, content_type=content_type))
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, NOT_RESUMABLE)
            seen = (answer.status, answer.is_complete)
            assert seen == (200, False), (body, framing, seen, answer.body)
            assert answer.body == event(1) + event(2)
            (cut,) = await harness.wait_for_event("answer_cut")
            assert cut["tokens_spent"] == 35 + 4 * 3
            assert not harness.events("request_answered")


@async_test
async def test_stream_that_ended_inside_an_event_is_resumed():
    """The caller of a resumable stream gets each event once."""
    for body, framing in itertools.product(BROKEN_BODIES, BodyFraming):
        fleet = servers(Script(body, framing))
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, RESUMABLE)
            assert (answer.status, answer.is_complete) == (200, True), body
            assert answer.body == WHOLE
            assert len(harness.events("stream_resumed")) == 1


@async_test
async def test_stream_that_ends_inside_an_event_everywhere_never_looks_complete():
    """Where each endpoint breaks off, the caller gets no event twice and no end."""
    for body, framing in itertools.product(BROKEN_BODIES, BodyFraming):
        # The further ones go on after the second event.
        resumed = [Script(body[2:], framing) for _ in range(8)]
        fleet = servers(Script(body, framing), *resumed)
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, RESUMABLE)
            assert not answer.is_complete, (body, framing)
            assert answer.body == event(1) + event(2)
            assert 1 < runs(fleet) <= 2


@async_test
async def test_stream_without_length_or_chunks_is_passed_on_whole():
    """The end of the connection after the last event is the end of the stream."""
    body = tuple(event(number) for number in range(1, EVENTS + 1))
    for version in (b"1.0", b"1.1"):
        for path in (NOT_RESUMABLE, RESUMABLE):
            fleet = servers(Script(body, http_version=version))
            async with entry_harness(engines=fleet) as harness:
                answer = await call(harness, path)
                assert (answer.body, answer.is_complete) == (WHOLE, True)
                assert runs(fleet) == 1


@async_test
async def test_stream_that_was_reset_never_looks_complete():
    """A reset cuts the answer wherever it comes."""
    for body in ((event(1), event(2)), INSIDE_FIRST_LINE):
        fleet = servers(Script(body, ending=Ending.RESET))
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, NOT_RESUMABLE)
            assert not answer.is_complete


@async_test
async def test_stream_of_an_endpoint_that_is_gone_after_an_event_never_looks_complete():
    """An end of the connection just after an event may be a crash."""
    script = Script((event(1), event(2)), ending=Ending.CRASH)
    fleet = servers(script)
    async with entry_harness(engines=fleet) as harness:
        answer = await call(harness, NOT_RESUMABLE)
        assert (answer.status, answer.is_complete) == (200, False)
    fleet = servers(script)
    async with entry_harness(engines=fleet) as harness:
        answer = await call(harness, RESUMABLE)
        assert (answer.body, answer.is_complete) == (WHOLE, True)


@async_test
async def test_stream_of_a_draining_endpoint_that_ends_never_looks_complete():
    """An endpoint that leaves may be killed, or cut its streams before it exits."""
    for ending in (Ending.CRASH, Ending.KILL, Ending.EXIT):
        script = Script(
            (event(1), event(2)), ending=ending, piece_gap=DRAIN_NOTICE_SECONDS
        )
        fleet = servers(script)
        async with entry_harness(engines=fleet) as harness:
            answer = await call_while_draining(harness, fleet, NOT_RESUMABLE)
            seen = (answer.status, answer.is_complete)
            assert seen == (200, False), (ending, answer.body)
        fleet = servers(script)
        async with entry_harness(engines=fleet) as harness:
            answer = await call_while_draining(harness, fleet, RESUMABLE)
            assert (answer.body, answer.is_complete) == (WHOLE, True), ending


@async_test
async def test_whole_stream_of_a_draining_endpoint_that_lives_is_passed_on():
    """An endpoint that leaves goes on serving, and its answers end as any other's."""
    script = Script((WHOLE,), piece_gap=DRAIN_NOTICE_SECONDS)
    for path in (NOT_RESUMABLE, RESUMABLE):
        fleet = servers(script)
        async with entry_harness(engines=fleet) as harness:
            answer = await call_while_draining(harness, fleet, path)
            assert (answer.body, answer.is_complete) == (WHOLE, True)
            assert runs(fleet) == 1


@async_test
async def test_stream_of_an_endpoint_that_accepts_connections_as_it_is_killed_is_cut():
    """The kernel accepts connections until the whole process has ended."""
    fleet = servers(Script((event(1), event(2)), ending=Ending.KILL))
    async with entry_harness(engines=fleet) as harness:
        answer = await call(harness, NOT_RESUMABLE)
        assert (answer.status, answer.is_complete) == (200, False)


@async_test
async def test_plain_answer_of_a_draining_endpoint_that_ends_never_looks_complete():
    """A safe request is repeated, a booking gets 502."""
    for path, expected in (("/book/1", 502), ("/read/1", 200)):
        fleet = services(
            Script((b"bo",), ending=Ending.KILL, piece_gap=DRAIN_NOTICE_SECONDS)
        )
        async with entry_harness(services=fleet) as harness:
            answer = await call_while_draining(harness, fleet, path)
            assert answer.status == expected
            assert answer.body != b"bo"
            assert runs(fleet) == (1 if expected == 502 else 2)


@async_test
async def test_stream_that_ended_without_any_event_never_looks_complete():
    """The caller of a stream that can't be repeated gets 502."""
    fleet = servers(Script())
    async with entry_harness(engines=fleet) as harness:
        answer = await call(harness, NOT_RESUMABLE)
        assert (answer.status, runs(fleet)) == (502, 1)


@async_test
async def test_comment_at_the_end_of_a_stream_is_passed_on():
    """A stream that ends in a comment is whole."""
    for ending in (b": end", b": end\n", b"\r\n"):
        for framing in BodyFraming:
            fleet = servers(Script((WHOLE, ending), framing))
            async with entry_harness(engines=fleet) as harness:
                answer = await call(harness, NOT_RESUMABLE)
                assert (answer.body, answer.is_complete) == (WHOLE + ending, True)


@async_test
async def test_answer_of_a_streaming_route_that_is_no_stream_is_passed_on_whole():
    """A body of another type isn't split into events."""
    script = Script((b"no", b"ne"), BodyFraming.CHUNKS, content_type=b"text/plain")
    fleet = servers(script)
    async with entry_harness(engines=fleet) as harness:
        answer = await call(harness, NOT_RESUMABLE)
        assert (answer.status, answer.body) == (200, b"none")
        (line,) = await harness.wait_for_event("request_answered")
        assert line["tokens_spent"] == 95


@async_test
async def test_plain_answer_without_length_is_passed_on_whole():
    """The end of the connection is the end of the body."""
    for path in ("/book/1", "/read/1"):
        fleet = services(Script((b"bo", b"ok"), content_type=b"text/plain"))
        async with entry_harness(services=fleet) as harness:
            answer = await harness.call(path)
            assert (answer.status, answer.body) == (200, b"book")


@async_test
async def test_plain_answer_of_an_endpoint_that_is_gone_never_looks_complete():
    """A safe request is repeated, a booking gets 502."""
    endings = (Ending.CRASH, Ending.KILL)
    outcomes = (("/book/1", 502), ("/read/1", 200))
    for ending, (path, expected) in itertools.product(endings, outcomes):
        fleet = services(Script((b"bo",), ending=ending))
        async with entry_harness(services=fleet) as harness:
            answer = await harness.call(path)
            assert answer.status == expected
            assert answer.body != b"bo"
            assert runs(fleet) == (1 if expected == 502 else 2)


@async_test
async def test_broken_stream_never_looks_complete_to_a_caller_of_http_1_0():
    """Without chunks the end of the connection must not look like a whole answer."""
    for ending in (Ending.END, Ending.RESET):
        fleet = servers(Script(INSIDE_FIRST_LINE, ending=ending))
        async with entry_harness(engines=fleet) as harness:
            assert not await _is_answer_complete(harness, NOT_RESUMABLE)
    async with entry_harness(engines=servers()) as harness:
        assert await _is_answer_complete(harness, NOT_RESUMABLE)


@async_test
async def test_endpoint_that_breaks_answers_off_and_lives_is_not_taken_for_crashed():
    """Neither is the request blamed that it broke off again and again."""
    scripts = [Script(INSIDE_FIRST_LINE, framing) for framing in BodyFraming] * 4
    fleet = servers(*scripts)
    async with entry_harness(engines=fleet) as harness:
        while fleet[0].scripts:
            await call(harness, NOT_RESUMABLE)
            await anyio.sleep(0.3)
        answer = await call(harness, NOT_RESUMABLE)
        assert (answer.body, answer.is_complete) == (WHOLE, True)
        assert not harness.events("endpoint_ended")
        assert not harness.events("request_refused")


@async_test
async def test_stream_of_a_killed_host_never_looks_complete_to_a_caller_of_http_1_0():
    """The kernel resets the connection when the process ends."""
    fleet = servers()
    for server in fleet:
        server.event_gap = 30.0
    async with entry_harness(engines=fleet) as harness, anyio.create_task_group() as tg:
        results: list[bool] = []
        begun = anyio.Event()

        async def read_answer() -> None:
            results.append(await _is_answer_complete(harness, NOT_RESUMABLE, begun))

        tg.start_soon(read_answer)
        await begun.wait()
        harness.send_signal(signal.SIGKILL)
    assert results == [False]


async def _is_answer_complete(
    harness: EntryHarness, path: str, begun: anyio.Event | None = None
) -> bool:
    """Send a request of HTTP/1.0; return False if the connection was reset.

    ``begun`` is set when the first bytes of the answer have arrived.
    """
    begun = begun or anyio.Event()
    host, _, port = harness.caller_address.rpartition(":")
    request = (
        f"POST {path} HTTP/1.0\r\nHost: {HOST_NAME}\r\nAttempt-Id: a-1\r\n"
        f"Authorization: Bearer {KEY}\r\nDeadline-Ms: 4000\r\n"
        "Token-Usage: 35,60\r\nPrompt-Prefix: aa:10,bb:25\r\nContent-Length: 0\r\n\r\n"
    )
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(request.encode())
        try:
            while True:
                await stream.receive()
                begun.set()
        except anyio.EndOfStream:
            return True
        except anyio.BrokenResourceError:
            return False
