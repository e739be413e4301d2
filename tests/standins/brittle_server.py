"""Stand-in for an endpoint that falls over if it has to turn many requests away."""

from __future__ import annotations

import collections
import time

import anyio
import anyio.abc

from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.standins.stamped_server import Behaviour, StampedServer, reset_when_closed

DOWN_SECONDS = 2.0
WINDOW_SECONDS = 1.0


class BrittleServer(StampedServer):
    """Serves ``room`` requests at a time, each for ``work`` seconds.

    It falls over if it turns more than ``bearable`` away in a second, which all its
    answers say, and is back after DOWN_SECONDS.
    """

    def __init__(self, server_id: str, room: int, work: float, bearable: int) -> None:
        super().__init__(server_id, body=b"done")
        self.falls = 0
        self._room = room
        self._work = work
        self._bearable = bearable
        self._running = 0
        self._down_until = 0.0
        self._turned_away: collections.deque[float] = collections.deque()

    def admits(self, received: ReceivedRequest) -> bool:
        """Return whether there is room; fall over if there is none too often."""
        if self._running < self._room:
            return True
        now = time.monotonic()
        self._turned_away.append(now)
        while self._turned_away[0] <= now - WINDOW_SECONDS:
            self._turned_away.popleft()
        if len(self._turned_away) > self._bearable and now >= self._down_until:
            self.falls += 1
            self._down_until = now + DOWN_SECONDS
            self._turned_away.clear()
        return False

    def load(self) -> bytes:
        """Return the header Server-Load."""
        return b"%d,0,%d" % (self._running, self._room)

    def _notices(self) -> list[tuple[bytes, bytes]]:
        return [(b"Server-Brittle", b"%d" % self._bearable)]

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        if time.monotonic() < self._down_until:
            reset_when_closed(stream)
            await stream.aclose()
            return
        await super()._connection(stream)

    async def _run(
        self,
        conn: ServerConnection,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        behaviour: Behaviour,
    ) -> bool:
        self._running += 1
        try:
            await anyio.sleep(self._work)
            return await super()._run(conn, stream, received, behaviour)
        finally:
            self._running -= 1
