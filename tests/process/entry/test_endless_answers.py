from __future__ import annotations

import dataclasses
import pathlib

import anyio

from knapweeddrum.value.body_framing import BodyFraming
from tests.async_test import async_test
from tests.process.entry.entry_harness import EntryHarness, configuration, entry_harness
from tests.standins.scripted_server import Script, ScriptedServer, event

CALLERS = 20
START_GAP_SECONDS = 0.5
"""Time for all callers' requests to begin before the first bytes without end."""
SMALLEST_HOST_KB = 128 * 1024
"""Memory of the smallest hosts that the users run."""
MAX_MEMORY_SHARE = 0.25
"""Share of a host's memory that such answers may take in all."""
PIECE = b"x" * 16_384
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LATE_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: x\r\n\r\n"
REFUSAL_HEAD = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n"
PLAIN = b"text/plain"

ENDLESS_EVENT = Script((event(1),), endless=PIECE)
ENDLESS_CHUNKED_EVENT = Script((event(1),), BodyFraming.CHUNKS, endless=PIECE)
ENDLESS_BODY = Script(content_type=PLAIN, endless=PIECE)
ENDLESS_CHUNKED_BODY = Script((), BodyFraming.CHUNKS, content_type=PLAIN, endless=PIECE)
ENDLESS_HEAD = Script(preamble=b"HTTP/1.1 200 OK\r\nX-Head: ", has_head=False)
ENDLESS_HEAD = dataclasses.replace(ENDLESS_HEAD, endless=PIECE)
SLOW_HEAD = Script(preamble=b"HTTP/1.1 200 OK\r\n", has_head=False)
SLOW_HEAD = dataclasses.replace(SLOW_HEAD, endless=b"X: y\r\n", endless_gap=0.05)
ENDLESS_STATUS_LINE = Script(has_head=False, endless=PIECE)
ENDLESS_INTERIM_HEADS = Script(has_head=False, endless=INTERIM_HEAD, endless_gap=0.001)
SLOW_INTERIM_HEADS = Script(has_head=False, endless=INTERIM_HEAD, endless_gap=0.05)
ENDLESS_LATE_ANSWER = Script(preamble=LATE_HEAD, has_head=False, endless=PIECE)
SLOW_LATE_ANSWER = dataclasses.replace(ENDLESS_LATE_ANSWER, endless_gap=0.05)
LATE_WHOLE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: x\r\n"
    b"Content-Length: 5\r\n\r\nwrong"
)
ENDLESS_LATE_ANSWERS = Script(
    has_head=False, endless=LATE_WHOLE_ANSWER, endless_gap=0.01
)
SLOW_REFUSAL = Script(
    preamble=REFUSAL_HEAD, has_head=False, endless=b"x", endless_gap=0.05
)
ANY_ROUTE = (
    ENDLESS_BODY,
    ENDLESS_CHUNKED_BODY,
    ENDLESS_HEAD,
    ENDLESS_STATUS_LINE,
    SLOW_HEAD,
    ENDLESS_INTERIM_HEADS,
    SLOW_INTERIM_HEADS,
    ENDLESS_LATE_ANSWER,
    SLOW_LATE_ANSWER,
    ENDLESS_LATE_ANSWERS,
)
STREAMING_ROUTE = (ENDLESS_EVENT, ENDLESS_CHUNKED_EVENT, *ANY_ROUTE)


def peak_memory_kb(harness: EntryHarness) -> int:
    """Return the largest resident memory of the process so far."""
    status = pathlib.Path(f"/proc/{harness.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1])


def fleet(script: Script, count: int = 1) -> tuple[ScriptedServer, ...]:
    """Return two servers, the first runs at any of which follow the script."""
    shared = [script] * count
    return tuple(
        ScriptedServer(f"e-{n}", shared, events=4, body=b"booked") for n in range(2)
    )


@async_test
async def test_answer_without_end_is_given_up_before_the_deadline():
    """A request that can't be repeated gets 502 or a cut, not a late 504."""
    for script in STREAMING_ROUTE:
        engines = fleet(script)
        async with entry_harness(engines=engines) as harness:
            answer = await harness.call("/draft/1", tokens="35,60")
            begun = bool(script.body)
            expected = (200, False) if begun else (502, True)
            assert (answer.status, answer.is_complete) == expected, script
            (failed,) = harness.events("attempt_failed")
            assert failed["reason"] == "endless_answer", script
            with anyio.fail_after(5):
                while not sum(server.closed_early for server in engines):
                    await anyio.sleep(0.02)


@async_test
async def test_request_whose_answer_has_no_end_is_served_by_another_endpoint():
    """A stream that can be resumed and a safe request go on elsewhere at once."""
    for script in (ENDLESS_EVENT, ENDLESS_INTERIM_HEADS, ENDLESS_HEAD):
        engines = fleet(script)
        async with entry_harness(engines=engines) as harness:
            answer = await harness.call("/query/1", tokens="35,60")
            assert (answer.status, answer.is_complete) == (200, True)
            assert answer.body.count(b"data:") == 4
    for script in ANY_ROUTE:
        stock = fleet(dataclasses.replace(script))
        for server in stock:
            server.events = 0
        async with entry_harness(services=stock) as harness:
            answer = await harness.call("/read/1")
            assert (answer.status, answer.body) == (200, b"booked"), script


@async_test
async def test_refusal_without_end_does_not_hold_its_request():
    """The request goes to another endpoint as it has not run."""
    stock = fleet(SLOW_REFUSAL)
    for server in stock:
        server.events = 0
    async with entry_harness(services=stock) as harness:
        answer = await harness.call("/read/1", time_left_ms=1500)
        assert (answer.status, answer.body) == (200, b"booked")


@async_test
async def test_many_answers_without_end_leave_the_memory_of_a_small_host():
    """Twenty at once take no more than a quarter of the smallest host's memory."""
    document = configuration()
    for service in document["services"]:
        service["maxConnections"] = 100 * CALLERS
    for script in (ENDLESS_EVENT, ENDLESS_BODY, ENDLESS_CHUNKED_BODY):
        first = script.body or (b"x",)
        late = dataclasses.replace(script, body=first, piece_gap=START_GAP_SECONDS)
        engines = fleet(late, count=CALLERS)
        async with entry_harness(engines=engines, document=document) as harness:
            before = peak_memory_kb(harness)
            async with anyio.create_task_group() as callers:
                for number in range(CALLERS):
                    callers.start_soon(_ask, harness, f"a-{number:x}")
            assert sum(len(server.runs) for server in engines) == CALLERS
            growth = peak_memory_kb(harness) - before
            assert growth < MAX_MEMORY_SHARE * SMALLEST_HOST_KB, (script, growth)


async def _ask(harness: EntryHarness, attempt: str) -> None:
    answer = await harness.call("/draft/1", tokens="35,60", attempt=attempt)
    assert answer.status in {200, 502}
    assert answer.status == 502 or not answer.is_complete
