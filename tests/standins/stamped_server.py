"""Stand-in for an endpoint, model engine or plain service, that stamps its replies."""

from __future__ import annotations

import contextlib
import enum
import json
import socket
import struct
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.exceptions import MalformedRequestError, PeerDisconnectedError
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from knapweeddrum.platform.start_report import REPORT_TARGET
from tests.standins.tcp_serving import serving

IDLE_TIMEOUT_SECONDS = 30.0
MAX_BODY_BYTES = 1024 * 1024
TOKENS_PER_EVENT = 3
LATE_RESET_SECONDS = 0.6


class Behaviour(enum.Enum):
    """How the server handles one request.

    MOVED answers 421, without running the request, as if another instance now had the
    server's address. UNSTAMPED answers without the header Response-Stamp.
    """

    SERVE = "serve"
    REFUSE = "refuse"
    """Answers 503 with the header Not-Executed, without running the request."""
    MOVED = "moved"
    RESET = "reset"
    """Runs the request and resets the connection instead of answering."""
    CUT = "cut"
    """Runs the request and disconnects in the middle of the answer."""
    HANG = "hang"
    """Runs the request and sends nothing until the client disconnects."""
    FAIL = "fail"
    """Runs the request and answers 500."""
    SILENT_REFUSAL = "silent_refusal"
    """Answers 503 without saying whether it ran the request."""
    UNSTAMPED = "unstamped"
    ENCODED = "encoded"
    """Answers with the header Content-Encoding."""
    LATE_RESET = "late_reset"
    """Resets the connection after LATE_RESET_SECONDS instead of answering."""
    LATE_EXTRA = "late_extra"
    """Sends the answer to another request before the right one."""


class StampedServer:
    """Records the requests that it runs; ``plan`` has the behaviour of the next ones.

    Replies have the header Response-Stamp, which shows that the endpoint itself made
    them. With ``events`` they are streams of so many events, ``event_gap`` seconds
    apart.
    """

    def __init__(self, server_id: str, *, events: int = 0, body: bytes = b"") -> None:
        self.server_id = server_id
        self.events = events
        self.body = body
        self.event_gap = 0.0
        self.checks_instance = False
        """Whether requests that expect another instance get 421."""
        self.limit = b""
        """Value of the header Server-Limit in each answer; empty for none."""
        self.leaving = False
        """Whether answers say that the server leaves."""
        self.refuses = False
        """Whether each request is refused, not run."""
        self.refuses_each = 0
        """Each so manieth request is refused, not run; 0 for none."""
        self.retry_after: tuple[bytes, ...] = ()
        """Values of the header Retry-After of refusals."""
        self.arrival_times: list[float] = []
        """Monotonic time of each arrival, of rejected requests too."""
        self.version: object = "v1"
        """Software version in the server's entry."""
        self.entries = 0
        """Entries that were written; each has the next number."""
        self.born = 1_700_000_000_000
        """Unix time of its start in milliseconds."""
        self.tells_start = True
        """Whether its reports name the time of its start."""
        self.entries_tell_start = True
        """Whether its entries do."""
        self.reports = 0
        """Reports that were asked for."""
        self.piece = b"piece"
        """Text before the number of each event."""
        self.plan: list[Behaviour] = []
        self.runs: list[HeaderList] = []
        self.targets: list[bytes] = []
        self.bodies: list[bytes] = []
        self.max_body_bytes = MAX_BODY_BYTES
        self.arrivals = 0
        self.cancelled = 0
        self.connections = 0
        self.address = ""

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port and yield ``IP:port``."""
        async with serving(self._connection) as address:
            self.address = address
            yield address

    def entry(self, service: str, **changes: object) -> dict[str, object]:
        """Return the server's next entry in the list of a service's endpoints."""
        self.entries += 1
        start = {"born": self.born} if self.entries_tell_start else {}
        return {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": self.entries,
            **start,
            **changes,
        }

    def admits(self, received: ReceivedRequest) -> bool:
        """Return whether the server has capacity for the request."""
        return True

    def load(self) -> bytes:
        """Return the header Server-Load: requests that run and wait, and slots."""
        return b"1,0,8"

    def _notices(self) -> list[tuple[bytes, bytes]]:
        return [(b"Server-Leaving", b"1")] if self.leaving else []

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        conn = ServerConnection(stream, 65_536)
        with contextlib.suppress(PeerDisconnectedError, MalformedRequestError):
            while await self._serve_next(conn, stream):
                pass
        await conn.abort()

    async def _serve_next(
        self, conn: ServerConnection, stream: anyio.abc.SocketStream
    ) -> bool:
        received = await conn.next_request(IDLE_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS)
        if received is None:
            return False
        body = await conn.read_body(self.max_body_bytes, IDLE_TIMEOUT_SECONDS)
        if received.target == REPORT_TARGET:
            await self._report(conn)
            return conn.finish()
        self.arrivals += 1
        self.arrival_times.append(time.monotonic())
        behaviour = self.plan.pop(0) if self.plan else Behaviour.SERVE
        expected = received.headers.text(b"expect-instance")
        if self.checks_instance and expected != self.server_id:
            behaviour = Behaviour.MOVED
        if self.refuses or (
            self.refuses_each and self.arrivals % self.refuses_each == 0
        ):
            behaviour = Behaviour.REFUSE
        if behaviour is Behaviour.REFUSE or not self.admits(received):
            refusal = [(b"Not-Executed", b"1"), *self._notices()]
            refusal += [(b"Retry-After", value) for value in self.retry_after]
            await conn.send_reply(503, refusal, b"")
            return conn.finish()
        if behaviour is Behaviour.MOVED:
            await conn.send_reply(421, [(b"Instance-Id", b"another")], b"")
            return conn.finish()
        self.runs.append(received.headers)
        self.targets.append(received.target)
        self.bodies.append(body)
        return await self._run(conn, stream, received, behaviour)

    async def _report(self, conn: ServerConnection) -> None:
        self.reports += 1
        report: dict[str, object] = {"stage": "both", "running": 0, "queued": 0}
        if self.tells_start:
            report["born"] = self.born
        await conn.send_reply(200, [], json.dumps(report).encode())

    async def _run(
        self,
        conn: ServerConnection,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        behaviour: Behaviour,
    ) -> bool:
        if behaviour is Behaviour.LATE_RESET:
            await anyio.sleep(LATE_RESET_SECONDS)
        if behaviour in {Behaviour.RESET, Behaviour.LATE_RESET}:
            reset_when_closed(stream)
            return False
        if behaviour is Behaviour.HANG:
            await conn.wait_for_disconnect()
            self.cancelled += 1
            return False
        attempt = received.headers.get(b"attempt-id") or b""
        headers = [(b"Attempt-Id", attempt), (b"Server-Load", self.load())]
        headers += self._notices()
        if self.limit:
            headers.append((b"Server-Limit", self.limit))
        if behaviour is Behaviour.SILENT_REFUSAL:
            await conn.send_reply(503, headers, b"")
            return conn.finish()
        if behaviour is not Behaviour.UNSTAMPED:
            headers.append((b"Response-Stamp", b"stamp-" + self.server_id.encode()))
        if behaviour is Behaviour.ENCODED:
            headers.append((b"Content-Encoding", b"gzip"))
        if behaviour is Behaviour.LATE_EXTRA:
            await stream.send(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: x\r\n"
                b"Content-Length: 5\r\n\r\nwrong"
            )
        if behaviour is Behaviour.FAIL:
            await conn.send_reply(500, headers, b"failed")
            return conn.finish()
        if self.events:
            return await self._stream(conn, received, headers, behaviour)
        if behaviour is Behaviour.CUT:
            sized = [*headers, (b"Content-Length", b"100")]
            await conn.start_reply(200, sized)
            await conn.send_data(b"half")
            return False
        await conn.send_reply(200, headers, self.body)
        return conn.finish()

    async def _stream(
        self,
        conn: ServerConnection,
        received: ReceivedRequest,
        headers: list[tuple[bytes, bytes]],
        behaviour: Behaviour,
    ) -> bool:
        start = int(received.headers.text(b"last-event-id") or "0") + 1
        await conn.start_reply(200, [*headers, (b"Content-Type", b"text/event-stream")])
        try:
            for number in range(start, self.events + 1):
                if behaviour is Behaviour.CUT and number > self.events // 2:
                    await conn.send_data(b"id: %d\nda" % number)
                    return False
                event = b"id: %d\ndata: %s %d\n\n" % (number, self.piece, number)
                await conn.send_data(event)
                await anyio.sleep(self.event_gap)
            await conn.end_reply()
        except PeerDisconnectedError:
            self.cancelled += 1
            raise
        return conn.finish()


def reset_when_closed(stream: anyio.abc.SocketStream) -> None:
    """Make the close of a connection reset it."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
