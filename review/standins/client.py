"""Stand-in for clients: requests on new or kept channels, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools

from review.standins import wire

CONNECT_SECONDS = 1.0

_numbers = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """What a client got; ``status`` is 0 for a channel that ended without a head."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    data: list[bytes] = dataclasses.field(default_factory=list)
    whole: bool = False
    sent: bool = False
    """Whether the whole request was written to an open channel."""

    @property
    def body(self) -> bytes:
        return b"".join(self.data)

    @property
    def events(self) -> int:
        return self.body.count(b"\n\n")


class Channel:
    """One channel to a host; it may carry several requests in turn."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader = None
        self._writer = None

    @property
    def is_open(self) -> bool:
        return self._writer is not None

    async def open(self) -> None:
        ip, _, port = self._address.partition(":")
        opening = asyncio.open_connection(ip, int(port), limit=1 << 20)
        self._reader, self._writer = await asyncio.wait_for(opening, CONNECT_SECONDS)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(
        self,
        method: str,
        target: str,
        key: str,
        deadline_ms: int,
        body: bytes = b"",
        on_data=None,
        **headers: object,
    ) -> Answer:
        """Send a request and read its answer until the client's time limit."""
        answer = Answer(f"a{next(_numbers):08x}")
        named = {
            "Host": "desk.example",
            "Attempt-Id": answer.attempt,
            "Deadline-Ms": deadline_ms,
            "Authorization": f"Bearer {key}",
            "Content-Length": len(body),
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in named.items())]
        raw = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    await self.open()
                self._writer.write(raw)
                await self._writer.drain()
                answer.sent = True
                await self._read(answer, on_data)
        except (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
            self.close()
        if not answer.whole or answer.headers.get("connection", "") == "close":
            self.close()
        return answer

    async def _read(self, answer: Answer, on_data) -> None:
        message = await wire.read_head(self._reader)
        if message is None:
            raise EOFError("no answer")
        answer.status = int(message.first.split(" ")[1])
        answer.headers = message.headers
        if "chunked" in message.headers.get("transfer-encoding", ""):
            async for data in wire.chunks(self._reader):
                answer.data.append(data)
                if on_data is not None:
                    on_data(answer)
        else:
            answer.data.append(await wire.read_body(self._reader, message))
        answer.whole = True


async def ask(address: str, *args, **kwargs) -> Answer:
    """Send one request on a new channel."""
    channel = Channel(address)
    try:
        return await channel.send(*args, **kwargs)
    finally:
        channel.close()


async def get(address: str, target: str) -> tuple[int, bytes]:
    """Return status and body of a page, status 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(1.0):
            ip, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            message = await wire.read_head(reader)
            body = await wire.read_body(reader, message) if message else b""
            writer.close()
            return (int(message.first.split(" ")[1]), body) if message else (0, b"")
    return 0, b""
