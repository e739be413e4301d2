from __future__ import annotations

import nose2.tools

from tests.async_test import async_test, run_async
from tests.process.entry.entry_harness import Answer, entry_harness
from tests.standins.early_server import EarlyServer, Ending

UPLOAD = bytes(99_000)
HEAD = b"HTTP/1.1 %s Some\r\nAttempt-Id: attempt-1\r\nResponse-Stamp: stamp\r\n"
PART = b"part of the answer"

STATUSES_THAT_ARE_NONE = (b"000", b"099", b"20", b"0200", b"-200", b"600", b"999")
PATHS = ("/book/1", "/draft/1", "/read/1")


async def answer_to(
    path: str, raw: bytes, ending: Ending, body: bytes = UPLOAD
) -> Answer:
    """Return what a caller gets whose endpoint answers with these bytes."""
    servers = [EarlyServer(f"e-{number}", raw, ending) for number in range(2)]
    is_stream = path.startswith("/draft")
    async with entry_harness(
        engines=tuple(servers) if is_stream else (),
        services=() if is_stream else tuple(servers),
    ) as harness:
        tokens = "35,30" if is_stream else None
        return await harness.call(path, body=body, tokens=tokens)


@nose2.tools.params(Ending.RESET, Ending.LATE_RESET, Ending.CLOSE, Ending.HALF_CLOSE)
def test_part_of_an_early_answer_to_an_upload_never_looks_complete(ending: Ending):
    """The answer has no length, and the upload is still being written."""

    async def check() -> None:
        for path in PATHS:
            answer = await answer_to(path, HEAD % b"200" + b"\r\n" + PART, ending)
            assert not (answer.status == 200 and answer.is_complete), (path, answer)

    run_async(check)


@async_test
async def test_early_answer_of_an_endpoint_that_reads_the_upload_on_is_whole():
    """It ends its connection in good order and takes the rest of the body."""
    raw = HEAD % b"200" + b"\r\n" + PART
    answer = await answer_to("/book/1", raw, Ending.READ_ON)
    assert (answer.status, answer.body) == (200, PART)


@nose2.tools.params(*STATUSES_THAT_ARE_NONE)
def test_status_that_is_none_is_never_passed_on(status: bytes):
    """A caller gets a failure, also on a route with one attempt."""

    async def check() -> None:
        for path in PATHS:
            raw = HEAD % status + b"Content-Length: 18\r\n\r\n" + PART
            answer = await answer_to(path, raw, Ending.READ_ON, b"question")
            assert answer.status == 502, (path, answer.status)

    run_async(check)
