"""Clients that send what is legal, in numbers and at a pace that harm."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from tests.process.entry.entry_harness import HOST_NAME, KEY

PIECE_BYTES = 65_536
SEND_LIMIT_SECONDS = 6.0
"""Time after which a client stops sending and only keeps its connection."""
CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

Client = Callable[[anyio.abc.SocketStream], Awaitable[None]]


def request_head(
    path: str, body_bytes: int, *, attempt: str = "a", host: str = HOST_NAME
) -> bytes:
    """Return the head of a caller's request."""
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {attempt}",
        "Deadline-Ms: 20000",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {body_bytes}",
    )
    return "\r\n".join((*lines, "", "")).encode()


async def send_bytes(
    stream: anyio.abc.SocketStream, size: int, pause: float = 0.0
) -> None:
    """Send so many bytes in pieces, so that few of them are held here."""
    piece = b"x" * PIECE_BYTES
    while size > 0:
        await stream.send(piece[:size])
        size -= PIECE_BYTES
        if pause:
            await anyio.sleep(pause)


def body_client(path: str, size: int, *, pause: float = 0.0, unsent: int = 0) -> Client:
    """Return a client that sends a body of ``size`` bytes but for the last ones."""

    async def run(stream: anyio.abc.SocketStream) -> None:
        await stream.send(request_head(path, size))
        await send_bytes(stream, size - unsent, pause)

    return run


def pipelining_client(request: bytes, count: int) -> Client:
    """Return a client that sends requests ahead and reads nothing."""

    async def run(stream: anyio.abc.SocketStream) -> None:
        together = max(1, PIECE_BYTES // len(request))
        for _ in range(0, count, together):
            await stream.send(request * together)

    return run


def trickling_client(data: bytes, pause: float) -> Client:
    """Return a client that sends byte by byte."""

    async def run(stream: anyio.abc.SocketStream) -> None:
        for byte in data:
            await stream.send(bytes([byte]))
            await anyio.sleep(pause)

    return run


async def silent_client(_stream: anyio.abc.SocketStream) -> None:
    """Send nothing."""


class Crowd:
    """Connections that stay open, unread, until the crowd is cancelled."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._sending = 0
        self._scopes: list[anyio.CancelScope] = []

    def add(self, address: str, count: int, client: Client) -> None:
        """Start clients of one kind."""
        for _ in range(count):
            self._sending += 1
            self._tasks.start_soon(self._run, address, client)

    async def wait_until_sent(self) -> None:
        """Wait until each client has sent what it sends, or could not for long."""
        while self._sending:
            await anyio.sleep(0.02)

    async def _run(self, address: str, client: Client) -> None:
        host, _, port = address.rpartition(":")
        with contextlib.suppress(*CLOSED_ERRORS):
            stream = None
            try:
                with anyio.move_on_after(SEND_LIMIT_SECONDS):
                    stream = await anyio.connect_tcp(host, int(port))
                    # Nothing is read before receive() is called, but by the kernel.
                    await client(stream)
            finally:
                self._sending -= 1
            if stream is not None:
                try:
                    await anyio.sleep_forever()
                finally:
                    await anyio.aclose_forcefully(stream)
