"""An endpoint that tells when it began and ended each run."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.exceptions import PeerDisconnectedError
from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.process.entry.site.site_history import EndpointRun, RunEnd, SiteHistory
from tests.process.entry.site.site_shape import RequestKind, SiteShape
from tests.standins.stamped_server import Behaviour, StampedServer

FIRST_EVENT_SECONDS = 0.08
EVENT_GAP_SECONDS = 0.06
WORK_SPREAD = 0.7
"""Standard deviation of the logarithm of the time for which a request is worked on."""
RECORD_BYTES = 800
LEAVE_POLL_SECONDS = 0.05


class SiteEndpoint(StampedServer):
    """Streams or answers for as long as the kind of request takes, never breaking off.

    It leaves as planned: it reports that it drains, serves on, and ends once nothing
    runs.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        shape: SiteShape,
        history: SiteHistory,
        rng: random.Random,
    ) -> None:
        super().__init__(server_id)
        self.service = service
        self.data_centre = data_centre
        self.leaving_begun = anyio.Event()
        self._shape = shape
        self._history = history
        self._rng = rng
        self._running = 0
        self._beats = 0

    @contextlib.asynccontextmanager
    async def serve_until_idle(self) -> AsyncIterator[None]:
        """Serve; on leaving the context, wait until nothing runs any more."""
        async with self.serve():
            yield
            while self._running:
                await anyio.sleep(LEAVE_POLL_SECONDS)

    def leave(self) -> None:
        """Have the endpoint report that it drains, and end some seconds later."""
        self.leaving_begun.set()

    def next_entry(self) -> dict[str, object]:
        """Return the entry of its next heartbeat."""
        self._beats += 1
        return self.entry(
            self.service,
            zone=self.data_centre,
            state="draining" if self.leaving_begun.is_set() else "ready",
            seq=self._beats,
            slots=128 if self.service == "engine" else 6,
        )

    def load(self) -> bytes:
        """Return the header Server-Load: requests that run and wait, and slots."""
        return b"%d,0,128" % self._running

    async def _run(
        self,
        conn: ServerConnection,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        behaviour: Behaviour,
    ) -> bool:
        attempt = received.headers.text(b"attempt-id")
        run = EndpointRun(attempt, self.server_id, time.monotonic())
        self._history.record_run(run)
        self._running += 1
        try:
            reuse = await self._work(conn, received, attempt.encode())
        except PeerDisconnectedError:
            run.end = RunEnd.PEER_LEFT
            raise
        finally:
            self._running -= 1
            run.ended_at = time.monotonic()
        run.end = RunEnd.WHOLE
        return reuse

    async def _work(
        self, conn: ServerConnection, received: ReceivedRequest, attempt: bytes
    ) -> bool:
        kind = self._shape.kind(received.target.split(b"/")[1].decode())
        lasts = self._draw_work(kind)
        headers = [
            (b"Attempt-Id", attempt),
            (b"Response-Stamp", b"stamp-" + self.server_id.encode()),
            (b"Server-Load", self.load()),
        ]
        if not kind.is_stream:
            await anyio.sleep(lasts)
            await conn.send_reply(200, headers, bytes(RECORD_BYTES))
            return conn.finish()
        await anyio.sleep(FIRST_EVENT_SECONDS)
        head = [*headers, (b"Content-Type", b"text/event-stream")]
        await conn.start_reply(200, head)
        resumed = int(received.headers.text(b"last-event-id") or "0")
        count = max(1, round(lasts / EVENT_GAP_SECONDS))
        for number in range(resumed + 1, resumed + count + 1):
            await conn.send_data(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await anyio.sleep(EVENT_GAP_SECONDS)
        await conn.end_reply()
        return conn.finish()

    def _draw_work(self, kind: RequestKind) -> float:
        drawn = kind.mean_work * self._rng.lognormvariate(0.0, WORK_SPREAD)
        return min(drawn, kind.most_work)
