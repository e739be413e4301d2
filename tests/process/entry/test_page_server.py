from __future__ import annotations

from typing import cast

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.process.entry.page_server import PageAnswer, PageServer
from knapweeddrum.value.documents import MalformedDocumentError
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.standins.recording_event_log import RecordingEventLog
from tools.free_ports import free_ports


async def fail(_body: bytes) -> PageAnswer:
    raise OverflowError("a fault of the program")


async def reject(_body: bytes) -> PageAnswer:
    raise MalformedDocumentError("no document")


async def answer(body: bytes) -> PageAnswer:
    return PageAnswer(200, body)


async def post(address: str, path: bytes) -> int:
    conn = await ClientConnection.connect(address, 1.0)
    headers = [(b"Host", b"a"), (b"Content-Length", b"1")]
    async with conn.exchange(b"POST", path, headers, b"1") as head:
        await conn.read_body(10)
    await conn.close()
    return head.status


@async_test
async def test_page_that_fails_ends_no_other_page():
    """Its request is answered 500, with a line; the process goes on."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    address = f"127.0.0.1:{free_ports(1)[0]}"
    pages = {b"/fail": fail, b"/reject": reject, b"/answer": answer}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(PageServer(ctx, address, pages).run)
        await anyio.sleep(0.1)
        paths = (b"/fail", b"/reject", b"/none", b"/answer")
        statuses = [await post(address, path) for path in paths]
        assert statuses == [500, 400, 404, 200]
        tasks.cancel_scope.cancel()
    names = cast("RecordingEventLog", ctx.events).names
    assert names == ["task_failed", "message_rejected"]
