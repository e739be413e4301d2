from __future__ import annotations

import dataclasses
from types import SimpleNamespace

import anyio

from knapweeddrum.process.entry.caller_server import CallerServer
from tests.async_test import async_test


@dataclasses.dataclass(eq=False, slots=True)
class FakeSession:
    """Records its abort, during which ``next_session`` gets a request."""

    next_session: FakeSession | None = None
    is_idle: bool = True
    aborted: bool = False

    async def abort(self) -> None:
        self.aborted = True
        if self.next_session is not None:
            self.next_session.is_idle = False
        await anyio.sleep(0)


@async_test
async def test_connection_that_gets_a_request_while_others_are_closed_stays_open():
    """Its caller would lose the answer of a request that was sent on."""
    first, second = FakeSession(), FakeSession()
    first.next_session, second.next_session = second, first
    server = CallerServer(SimpleNamespace(), SimpleNamespace(), SimpleNamespace())  # type: ignore[arg-type]
    server._sessions.update((first, second))  # type: ignore[arg-type]
    await server.close_idle()
    assert [first.aborted, second.aborted].count(True) == 1
