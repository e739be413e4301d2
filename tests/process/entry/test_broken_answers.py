from __future__ import annotations

import itertools

from knapweeddrum.http.body_framing import BodyFraming
from tests.async_test import async_test
from tests.process.entry.entry_harness import Answer, EntryHarness, entry_harness
from tests.standins.scripted_server import Ending, Script, ScriptedServer, event

EVENTS = 4
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))
INSIDE_FIRST_LINE = (event(1), event(2), b"id: 3\nda")
AFTER_LAST_LINE = (event(1), event(2), b"id: 3\ndata: piece 3\n")
BROKEN_BODIES = (INSIDE_FIRST_LINE, AFTER_LAST_LINE)
NOT_RESUMABLE, RESUMABLE = "/draft/1", "/query/1"


def servers(*scripts: Script) -> tuple[ScriptedServer, ...]:
    """Return three engines, the first run at any of which follows the script."""
    shared = list(scripts)
    return tuple(ScriptedServer(f"e-{n}", shared, events=EVENTS) for n in range(3))


async def call(harness: EntryHarness, path: str) -> Answer:
    """Send a prompt and return its answer."""
    return await harness.call(path, tokens="35,60")


@async_test
async def test_stream_that_ended_inside_an_event_never_looks_complete():
    """A stream that can't be resumed is cut at the caller as well."""
    for body, framing in itertools.product(BROKEN_BODIES, BodyFraming):
        fleet = servers(Script(body, framing))
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, NOT_RESUMABLE)
            assert (answer.status, answer.is_complete) == (200, False), body
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
async def test_stream_without_length_or_chunks_is_passed_on_whole():
    """The end of the connection after the last event is the end of the stream."""
    body = tuple(event(number) for number in range(1, EVENTS + 1))
    for version in (b"1.0", b"1.1"):
        for path in (NOT_RESUMABLE, RESUMABLE):
            fleet = servers(Script(body, http_version=version))
            async with entry_harness(engines=fleet) as harness:
                answer = await call(harness, path)
                assert (answer.body, answer.is_complete) == (WHOLE, True)
                assert sum(len(server.runs) for server in fleet) == 1


@async_test
async def test_stream_that_was_reset_never_looks_complete():
    """A reset cuts the answer wherever it comes."""
    for body in ((event(1), event(2)), INSIDE_FIRST_LINE):
        fleet = servers(Script(body, ending=Ending.RESET))
        async with entry_harness(engines=fleet) as harness:
            answer = await call(harness, NOT_RESUMABLE)
            assert not answer.is_complete
