"""Stand-in for an endpoint that sends scripted bytes as its next answers."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from knapweeddrum.value.body_framing import BodyFraming
from tests.standins.stamped_server import Behaviour, StampedServer, reset_when_closed

STREAM_TYPE = b"text/event-stream"
EXIT_SECONDS = 0.03
"""Time for which a server that ends still accepts connections."""

DISCONNECT_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError)


def event(number: int) -> bytes:
    """Return an event as StampedServer sends it."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Ending(enum.Enum):
    """What follows the last scripted byte of a body."""

    END = "end"
    """The body ends as its framing says."""
    RESET = "reset"
    """The connection is reset before the body has ended."""
    CRASH = "crash"
    """The server stops listening, then ends the connection."""
    KILL = "kill"
    """The connection ends, and EXIT_SECONDS later the server stops listening.

    Until then the kernel accepts connections, which nobody serves, and resets them.
    """
    EXIT = "exit"
    """The same, but the server serves others until it stops listening."""


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """An answer with status 200; ``body`` is sent piece by piece.

    ``preamble`` is sent before the head. With ``endless`` these bytes are repeated
    after the body, ``endless_gap`` seconds apart, until the connection closes.
    """

    body: tuple[bytes, ...] = ()
    framing: BodyFraming = BodyFraming.CONNECTION
    ending: Ending = Ending.END
    http_version: bytes = b"1.1"
    content_type: bytes = STREAM_TYPE
    preamble: bytes = b""
    endless: bytes = dataclasses.field(default=b"", repr=False)
    endless_gap: float = 0.0
    has_head: bool = True
    piece_gap: float = 0.02


class ScriptedServer(StampedServer):
    """Answers as ``scripts`` says, which servers may share, then as its base class."""

    def __init__(
        self,
        server_id: str,
        scripts: list[Script],
        *,
        events: int = 0,
        body: bytes = b"",
    ) -> None:
        super().__init__(server_id, events=events, body=body)
        self.scripts = scripts
        self.closed_early = 0
        """Endless answers whose connection was closed."""
        self._is_killed = False
        self._tasks: anyio.abc.TaskGroup
        self._listener: anyio.abc.Listener[anyio.abc.SocketStream]

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port, until a crash, and yield ``IP:port``."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._listener = listener
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._listen, tasks)
            yield self.address
            tasks.cancel_scope.cancel()

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        try:
            await self._listener.serve(self._connection, tasks)
        except* anyio.ClosedResourceError:
            pass

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        if self._is_killed:
            reset_when_closed(stream)
            await stream.aclose()
            return
        await super()._connection(stream)

    async def _stop_listening(self) -> None:
        await anyio.sleep(EXIT_SECONDS)
        await self._listener.aclose()

    async def _run(
        self,
        conn: ServerConnection,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        behaviour: Behaviour,
    ) -> bool:
        if not self.scripts:
            return await super()._run(conn, stream, received, behaviour)
        script = self.scripts.pop(0)
        try:
            await self._send_script(stream, received, script)
        except DISCONNECT_ERRORS:
            self.closed_early += bool(script.endless)
            return False
        if script.ending is Ending.RESET:
            reset_when_closed(stream)
        return False

    async def _send_script(
        self, stream: anyio.abc.SocketStream, received: ReceivedRequest, script: Script
    ) -> None:
        if script.preamble:
            await stream.send(script.preamble)
        if script.has_head:
            await stream.send(self._head(received, script))
        for piece in script.body:
            await stream.send(_framed(piece, script.framing))
            await anyio.sleep(script.piece_gap)
        while script.endless:
            await stream.send(_framed(script.endless, script.framing))
            await anyio.sleep(script.endless_gap)
        if script.ending is Ending.END and script.framing is BodyFraming.CHUNKS:
            await stream.send(b"0\r\n\r\n")
        if script.ending is Ending.CRASH:
            await self._listener.aclose()
        if script.ending in {Ending.KILL, Ending.EXIT}:
            self._is_killed = script.ending is Ending.KILL
            self._tasks.start_soon(self._stop_listening)

    def _head(self, received: ReceivedRequest, script: Script) -> bytes:
        lines = [
            b"HTTP/%s 200 OK" % script.http_version,
            b"Attempt-Id: " + received.headers.text(b"attempt-id").encode(),
            b"Response-Stamp: stamp-" + self.server_id.encode(),
        ]
        if script.content_type:
            lines.append(b"Content-Type: " + script.content_type)
        if script.framing is BodyFraming.CHUNKS:
            lines.append(b"Transfer-Encoding: chunked")
        if script.framing is BodyFraming.LENGTH:
            lines.append(b"Content-Length: %d" % sum(map(len, script.body)))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _framed(piece: bytes, framing: BodyFraming) -> bytes:
    if framing is BodyFraming.CHUNKS:
        return b"%x\r\n%s\r\n" % (len(piece), piece)
    return piece
