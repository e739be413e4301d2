from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from unittest import mock

import anyio
import anyio.abc

from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from knapweeddrum.process.entry.drain_sequence import DIRECTORY_REFRESH_SECONDS
from knapweeddrum.process.entry.request_handler import RequestHandler
from tests.async_test import async_test
from tests.process.entry.embedded_caller_server import (
    answers_of,
    embedded_caller_server,
    fall_behind,
    request,
)
from tests.process.entry.entry_harness import (
    HOST_NAME,
    KEY,
    Answer,
    EntryHarness,
    entry_harness,
)
from tests.process.entry.kept_connection import (
    KeptAnswer,
    KeptConnection,
    request_bytes,
)
from tests.standins.stamped_server import StampedServer
from tests.standins.tcp_serving import serving

IDLE_TIMEOUT_SECONDS = 0.2
LATE_SECONDS = 0.8
"""Time for which a stopped process handles neither signals nor connections."""
GRACE_SECONDS = 6.0
"""Grace period of the harness's hosts."""
CALL_GAP_SECONDS = 0.03
CONNECTIONS = 8
ANSWERS_TO_FAILURES = {502, 503}
NOT_A_DIGIT = b"\xb2"
"""A superscript two, which ``str.isdigit`` takes for a digit and ``int`` doesn't."""


class OddLoadServer(StampedServer):
    """Reports a load that is not a number."""

    def load(self) -> bytes:
        return NOT_A_DIGIT + b",0,8"


def stock() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


def streaming_engine(events: int, gap: float) -> StampedServer:
    engine = StampedServer("engine-1", events=events)
    engine.event_gap = gap
    return engine


async def kept_connection(harness: EntryHarness) -> KeptConnection:
    """Return a connection that has carried one request."""
    conn = await KeptConnection.connect(harness.caller_address)
    answer = await exchange(conn, "/book/1", "first")
    assert answer is not None
    assert answer.status == 200
    return conn


async def exchange(conn: KeptConnection, path: str, attempt: str) -> KeptAnswer | None:
    await conn.send(request_bytes(path, attempt, HOST_NAME, KEY))
    return await conn.answer()


async def attempts_cut_by_the_kill(late: float) -> list[str]:
    """Drain a host under load; return the requests that it began and didn't complete.

    Each takes 0.4 seconds. The host runs again ``late`` seconds after its SIGTERM.
    """
    engine = streaming_engine(2, 0.2)
    incomplete: set[str] = set()
    async with entry_harness(engines=(engine,)) as harness:
        assert (await harness.call("/draft/1")).is_complete

        async def call(attempt: str) -> None:
            incomplete.add(attempt)
            with contextlib.suppress(NotSentError, NoReplyError):
                if (await harness.call("/draft/1", attempt=attempt)).is_complete:
                    incomplete.remove(attempt)

        if late:
            harness.send_signal(signal.SIGSTOP)
        harness.send_signal(signal.SIGTERM)
        kill_at = anyio.current_time() + GRACE_SECONDS
        await anyio.sleep(late)
        harness.send_signal(signal.SIGCONT)
        async with anyio.create_task_group() as tasks:
            number = 0
            while anyio.current_time() < kill_at - 0.1:
                number += 1
                tasks.start_soon(call, f"call-{number:03}")
                await anyio.sleep(CALL_GAP_SECONDS)
            await anyio.sleep_until(kill_at)
            with contextlib.suppress(ProcessLookupError):
                harness.process.kill()
    begun = {headers.text(b"attempt-id") for headers in engine.runs}
    return sorted(begun & incomplete)


@async_test
async def test_request_that_waits_unread_while_idle_connections_close_is_answered():
    """A host that is behind has not read what was sent long before it looks."""
    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        conn.send_now(request("late"))
        fall_behind()
        embedded.server.end_idle()
        assert await conn.answer() is not None


@async_test
async def test_request_read_while_idle_connections_close_is_answered():
    """A request that the transport has read is no sign of an idle connection."""
    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        conn.send_now(request("late"))
        await embedded.wait_until_read()
        fall_behind()
        embedded.server.end_idle()
        assert await conn.answer() is not None


@async_test
async def test_request_read_as_its_connection_is_closed_is_not_passed_on():
    """Its caller can get no answer any more, so no endpoint may run it."""
    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        conn.send_now(request("late"))
        await embedded.wait_until_read()
        (session,) = embedded.server._sessions
        with mock.patch.object(RequestHandler, "handle") as handle:
            await session._conn.abort()
            await anyio.sleep(0.1)
        assert handle.call_count == 0


@async_test
async def test_requests_that_arrive_while_many_idle_connections_close_are_answered():
    """Closing takes turns of the event loop, in which others' requests are read."""
    async with embedded_caller_server() as embedded:
        conns = [await embedded.connect() for _ in range(CONNECTIONS)]
        for conn in conns:
            conn.send_now(request("late"))
        fall_behind()
        embedded.server.end_idle()
        assert (await answers_of(conns)).count(None) == 0


@async_test
async def test_request_in_two_parts_is_answered_while_idle_connections_close():
    """A connection with a part of a request read and the rest there is not idle."""
    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        whole = request("late")
        await conn.send(whole[:20])
        await embedded.wait_until_idle()
        conn.send_now(whole[20:])
        fall_behind()
        embedded.server.end_idle()
        assert await conn.answer() is not None


@async_test
async def test_request_that_arrives_as_the_idle_timeout_ends_is_answered():
    """It was sent long before a host that is behind closes the connection."""
    received: list[ReceivedRequest | None] = []
    done = anyio.Event()
    loop = asyncio.get_running_loop()

    async def serve(stream: anyio.abc.SocketStream) -> None:
        conn = ServerConnection(stream, 500)
        ends_at = loop.time() + IDLE_TIMEOUT_SECONDS

        def send_late() -> None:
            caller.send_now(request("late"))
            fall_behind()

        # Both timers are due in one turn: this host was behind before it, too.
        loop.call_at(ends_at - 0.1, time.sleep, 0.2)
        loop.call_at(ends_at + 0.05, send_late)
        received.append(
            await conn.next_request(IDLE_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS)
        )
        done.set()

    async with serving(serve) as address:
        caller = await KeptConnection.connect(address)
        await done.wait()
    assert received[0] is not None


@async_test
async def test_request_sent_before_the_answer_that_a_drain_awaits_ends_is_answered():
    """No answer has said that the connection ends after it."""
    engine = streaming_engine(6, 0.15)
    async with entry_harness(engines=(engine,), services=(stock(),)) as harness:
        conn = await kept_connection(harness)
        await conn.send(request_bytes("/draft/1", "stream", HOST_NAME, KEY))
        await anyio.sleep(0.3)
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        await conn.send(request_bytes("/book/1", "next", HOST_NAME, KEY))
        streamed = await conn.answer()
        assert streamed is not None
        assert streamed.is_complete
        assert not streamed.says_close
        following = await conn.answer()
        assert following is not None
        assert following.status == 200


@async_test
async def test_request_sent_as_the_answer_that_a_drain_awaits_ends_is_answered():
    """The head of that answer was sent before the drain, without a close."""
    engine = streaming_engine(6, 0.15)
    async with entry_harness(engines=(engine,), services=(stock(),)) as harness:
        conn = await kept_connection(harness)
        await conn.send(request_bytes("/draft/1", "stream", HOST_NAME, KEY))
        await anyio.sleep(0.3)
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        streamed = await conn.answer()
        assert streamed is not None
        assert streamed.is_complete
        assert not streamed.says_close
        following = await exchange(conn, "/book/1", "next")
        assert following is not None
        assert following.status == 200


@async_test
async def test_answer_during_a_drain_says_close_or_the_next_request_is_answered():
    """A caller that isn't told of the close sends its next request there."""
    async with entry_harness(services=(stock(),)) as harness:
        conns = [await kept_connection(harness) for _ in range(CONNECTIONS)]
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        for conn in conns:
            answer = await exchange(conn, "/book/1", "during")
            assert answer is not None
            assert answer.status == 200
            if not answer.says_close:
                assert await exchange(conn, "/book/1", "after") is not None


@async_test
async def test_answer_late_in_a_drain_says_close():
    """Callers have refreshed the directory and are to leave the connection."""
    late: list[KeptAnswer | None] = []
    async with entry_harness(services=(stock(),)) as harness:
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        refreshed_at = anyio.current_time() + DIRECTORY_REFRESH_SECONDS
        while anyio.current_time() < refreshed_at + 0.5:
            conn = await KeptConnection.connect(harness.caller_address)
            is_late = anyio.current_time() > refreshed_at
            answer = await exchange(conn, "/book/1", "drain")
            late += [answer] if is_late else []
            await anyio.sleep(0.1)
    assert late
    assert all(answer is not None and answer.says_close for answer in late)


@async_test
async def test_refusal_during_a_drain_says_close_or_the_next_request_is_answered():
    """Refusals end a connection as answers do."""
    async with entry_harness(services=(stock(),)) as harness:
        conn = await kept_connection(harness)
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        answer = await exchange(conn, "/nowhere/", "during")
        assert answer is not None
        assert answer.status == 404
        if not answer.says_close:
            assert await exchange(conn, "/book/1", "after") is not None


@async_test
async def test_request_that_meets_an_internal_error_is_answered():
    """Its caller learns that it failed, as no byte of an answer was sent."""
    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        with mock.patch.object(RequestHandler, "handle", side_effect=RuntimeError):
            await conn.send(request("failing"))
            answer = await conn.answer()
        assert answer is not None
        assert answer.status in ANSWERS_TO_FAILURES


@async_test
async def test_request_whose_answer_cannot_be_encoded_is_answered():
    """A head that can't be sent on is no disconnect of the caller."""

    async def answer_oddly(handler: RequestHandler) -> None:
        await handler._relay._caller.send_reply(200, [(b"Odd", b"a\r\nb")], b"")

    async with embedded_caller_server() as embedded:
        conn = await embedded.connect()
        with mock.patch.object(RequestHandler, "handle", answer_oddly):
            await conn.send(request("failing"))
            answer = await conn.answer()
        assert answer is not None
        assert answer.status in ANSWERS_TO_FAILURES


@async_test
async def test_requests_with_one_attempt_id_at_a_time_are_answered():
    """An identifier that callers choose is no reason for an internal error."""
    async with entry_harness(services=(stock(),)) as harness:
        conns = [
            await KeptConnection.connect(harness.caller_address)
            for _ in range(CONNECTIONS)
        ]
        for _ in range(2):
            for conn in conns:
                await conn.send(request_bytes("/book/1", "same", HOST_NAME, KEY))
            assert (await answers_of(conns)).count(None) == 0
        assert harness.events("task_failed") == []


@async_test
async def test_request_whose_endpoint_reports_an_odd_load_is_answered():
    """A load report that is no number is ignored."""
    odd = OddLoadServer("stock-1", body=b"booked")
    async with entry_harness(services=(odd,)) as harness:
        conn = await KeptConnection.connect(harness.caller_address)
        answer = await exchange(conn, "/book/1", "first")
        assert odd.arrivals == 1
        assert answer is not None
        assert answer.status == 200


@async_test
async def test_odd_token_usage_does_not_end_the_process():
    """Its request is malformed; the streams of other callers complete."""
    engine = streaming_engine(6, 0.15)
    async with entry_harness(engines=(engine,)) as harness:
        conn = await KeptConnection.connect(harness.caller_address)
        await conn.send(request_bytes("/draft/1", "stream", HOST_NAME, KEY))
        await anyio.sleep(0.3)
        odd = await KeptConnection.connect(harness.caller_address)
        head = request_bytes("/draft/1", "odd", HOST_NAME, KEY)
        usage = b"\r\nToken-Usage: " + NOT_A_DIGIT + b",1\r\n"
        await odd.send(head.replace(b"\r\n", usage, 1))
        refusal = await odd.answer()
        streamed = await conn.answer()
        assert streamed is not None
        assert streamed.is_complete
        assert refusal is not None
        assert refusal.status == 400


@async_test
async def test_host_that_handles_sigterm_late_begins_nothing_that_the_kill_cuts():
    """The grace period began when the signal was sent, not when it was handled."""
    assert await attempts_cut_by_the_kill(LATE_SECONDS) == []


@async_test
async def test_request_that_a_draining_host_passes_on_is_answered():
    """Connections are new here: the drain closes some as their request is read."""
    assert await attempts_cut_by_the_kill(0.0) == []


@async_test
async def test_request_whose_caller_has_left_before_it_is_read_is_not_passed_on():
    """A process that is behind reads the request and the close together."""
    engine = streaming_engine(2, 0.2)
    async with entry_harness(engines=(engine,)) as harness:
        conns = [
            await KeptConnection.connect(harness.caller_address)
            for _ in range(CONNECTIONS)
        ]
        async with anyio.create_task_group() as tasks:
            # All at once, so that as many connections to the endpoint are kept.
            for number, conn in enumerate(conns):
                tasks.start_soon(exchange, conn, "/draft/1", f"first-{number}")
        harness.send_signal(signal.SIGSTOP)
        for number, conn in enumerate(conns):
            await conn.send(request_bytes("/draft/1", f"gone-{number}", HOST_NAME, KEY))
            await conn.close()
        await anyio.sleep(LATE_SECONDS)
        harness.send_signal(signal.SIGCONT)
        await anyio.sleep(1.0)
        assert (await harness.call("/draft/1", attempt="last")).status == 200
    begun = [headers.text(b"attempt-id") for headers in engine.runs]
    assert [attempt for attempt in begun if attempt.startswith("gone")] == []


@async_test
async def test_drain_begins_no_answer_that_its_end_may_cut_however_short_others_were():
    """What a request may last is its time limit, not what answers took lately."""
    engine = streaming_engine(2, 0.05)
    late: list[Answer] = []
    async with entry_harness(engines=(engine,)) as harness:
        for number in range(5):
            usual = await harness.call("/draft/1", attempt=f"usual-{number}")
            assert usual.is_complete
        harness.send_signal(signal.SIGTERM)
        stopped_at = anyio.current_time()
        while anyio.current_time() < stopped_at + 3.0:
            # Without a request the host would end.
            assert (await harness.call("/draft/1")).is_complete
            await anyio.sleep(0.1)
        engine.events = 28
        engine.event_gap = 0.1

        async def call(attempt: str) -> None:
            with contextlib.suppress(NotSentError, NoReplyError):
                late.append(await harness.call("/draft/1", attempt=attempt))

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                await anyio.sleep_until(stopped_at + 3.05 + 0.2 * number)
                tasks.start_soon(call, f"late-{number}")
    assert late
    assert [answer.is_complete for answer in late] == [True] * len(late)
    refused = [answer for answer in late if answer.status == 503]
    assert all(float(a.headers.text(b"retry-after")) < 0.1 for a in refused)
    assert all(a.headers.text(b"connection").lower() == "close" for a in refused)
