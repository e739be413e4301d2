"""Reading and writing of HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """First line, headers (names in lower case) and body of a message."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def chunks(reader: asyncio.StreamReader):
    """Yield the data of a chunked body; raises EOFError if it breaks off."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("body broke off")
        size = int(line.split(b";")[0], 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as exc:
            raise EOFError("body broke off") from exc
        if not size:
            return
        yield data[:-2]


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Return the body of a request, with a length or in chunks."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        return b"".join([data async for data in chunks(reader)])
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


def head(status: int, headers: dict[str, object]) -> bytes:
    """Return the bytes of a response's head."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reply(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Return the bytes of a whole response; ``_`` in names stands for ``-``."""
    named = {k.replace("_", "-"): v for k, v in headers.items()}
    return head(status, {**named, "Content-Length": len(body)}) + body
