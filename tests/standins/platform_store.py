"""Stand-in for the platform's store: streams of keyed records over HTTP."""

from __future__ import annotations

import base64
import contextlib
import dataclasses
import json
import struct
import time
import urllib.parse
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.exceptions import MalformedRequestError, PeerDisconnectedError
from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import encode_records
from tests.standins.tcp_serving import serving

IDLE_TIMEOUT_SECONDS = 30.0
MAX_BODY_BYTES = 4 * 1024 * 1024
READ_POLL_INTERVAL_SECONDS = 0.01
ERA_HEADER = b"Store-Era"
REWRITTEN_STREAMS = frozenset({"keyed.op", "keyed.servers"})
"""Streams whose writers write again what a return of the store lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class WrittenRecord:
    """A record as it was appended, with its time in monotonic seconds."""

    at: float
    key: str
    value: bytes | None


class StoredStream:
    """Records from offset ``first`` on, and the newest value of each key.

    A record without a value deletes its key.
    """

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[str, bytes | None]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self._written: list[WrittenRecord] = []
        """All records since offset 0, expired ones too."""

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, key: str, value: bytes | None) -> None:
        if value is None:
            self.newest.pop(key, None)
        else:
            self.newest[key] = (self.end, value)
        self.records.append((key, value))
        self._written.append(WrittenRecord(time.monotonic(), key, value))

    def rewind(self, to: float) -> list[WrittenRecord]:
        """Drop and return the records that were written after a time."""
        kept = [record for record in self._written if record.at <= to]
        lost = self._written[len(kept) :]
        self.first = min(self.first, len(kept))
        self.records, self.newest, self._written = [], {}, []
        first, self.first = self.first, 0
        for record in kept:
            self.append(record.key, record.value)
        self._written = kept
        self.expire_records(first)
        return lost

    def expire_records(self, before: int | None = None) -> None:
        """Expire the records before an offset, or all; the newest values stay."""
        first = self.end if before is None else before
        self.records = self.records[first - self.first :]
        self.first = first


class PlatformStore:
    """Serves streams; some attributes simulate failures."""

    def __init__(self) -> None:
        self.streams: dict[str, StoredStream] = {}
        self.busy = False
        """Refuses every request with 503."""
        self.unresponsive = False
        """Accepts requests, but neither carries them out nor replies."""
        self.refuses_writes = False
        """Refuses appends with 503 and answers reads."""
        self.lose_replies = 0
        """Number of next appends that are carried out without a reply."""
        self.reply_delay = 0.0
        """Seconds by which each answer is late."""
        self.calls = 0
        self.era: int | None = None
        """Sent with all answers, None for a store that tells none."""
        self.rewritten_after = 0.0
        """Seconds from a return until operator and endpoints have written again."""
        self._away = False
        self._open: set[ServerConnection] = set()
        self._silent: set[ServerConnection] = set()

    def silence_open_connections(self) -> None:
        """Answer nothing any more on the connections that are open now."""
        self._silent |= self._open

    async def return_from_copy(self, age: float, away: float) -> None:
        """Be away for some seconds and come back from a copy ``age`` seconds old."""
        copied_at = time.monotonic() - age
        self._away = True
        await anyio.sleep(away)
        lost = {name: s.rewind(copied_at) for name, s in self.streams.items()}
        if not self.rewritten_after:
            self._write_again(lost)
        self.era = (self.era or 0) + 1
        self._away = False
        if self.rewritten_after:
            await anyio.sleep(self.rewritten_after)
            self._write_again(lost)

    def _write_again(self, lost: dict[str, list[WrittenRecord]]) -> None:
        for name in REWRITTEN_STREAMS & lost.keys():
            for record in lost[name]:
                self.stream(name).append(record.key, record.value)

    def stream(self, name: str) -> StoredStream:
        return self.streams.setdefault(name, StoredStream())

    def put(self, stream: str, key: str, value: object) -> None:
        """Append a JSON value, as an operator or a back end does."""
        self.stream(stream).append(key, json.dumps(value).encode())

    def drop(self, stream: str, key: str) -> None:
        self.stream(stream).append(key, None)

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port and yield ``IP:port``."""
        async with serving(self._connection) as address:
            yield address

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        conn = ServerConnection(stream, 16_384)
        self._open.add(conn)
        with contextlib.suppress(PeerDisconnectedError, MalformedRequestError):
            while await self._serve_next(conn):
                pass
        self._open.discard(conn)
        await conn.abort()

    async def _serve_next(self, conn: ServerConnection) -> bool:
        received = await conn.next_request(IDLE_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS)
        if received is None:
            return False
        body = await conn.read_body(MAX_BODY_BYTES, IDLE_TIMEOUT_SECONDS)
        self.calls += 1
        if self.unresponsive:
            await anyio.sleep_forever()
        if self.reply_delay:
            await anyio.sleep(self.reply_delay)
        if self._away:
            return False
        target = urllib.parse.urlsplit(received.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        if self.busy:
            await self._reply(conn, 503, b"")
        elif target.path == "/-/log-append":
            if not await self._append(conn, query, body):
                return False
        elif target.path == "/-/log-read":
            if not await self._read(conn, query):
                return False
        else:
            await self._newest(conn, query)
        return conn.finish()

    async def _append(
        self, conn: ServerConnection, query: dict[str, str], body: bytes
    ) -> bool:
        if self.refuses_writes:
            await self._reply(conn, 503, b"")
            return True
        stream = self.stream(query["topic"])
        if "at" in query and int(query["at"]) != stream.end:
            await self._reply(conn, 412, json.dumps({"end": stream.end}).encode())
            return True
        offset = stream.end
        for key, value in _decode_records(body):
            stream.append(key, value)
        if self.lose_replies:
            self.lose_replies -= 1
            return False
        reply = {"offset": offset, "end": stream.end}
        await self._reply(conn, 200, json.dumps(reply).encode())
        return True

    async def _read(self, conn: ServerConnection, query: dict[str, str]) -> bool:
        """Answer a read; return False if the store went away meanwhile."""
        stream = self.stream(query["topic"])
        start = int(query["from"])
        era = self.era
        with anyio.move_on_after(int(query.get("waitMs", "0")) / 1000):
            while stream.end == start and not self._away:
                await anyio.sleep(READ_POLL_INTERVAL_SECONDS)
        if self._away or era != self.era:
            return False
        if not stream.first <= start <= stream.end:
            await self._reply(conn, 410, json.dumps({"first": stream.first}).encode())
            return True
        page_bytes = int(query.get("maxKb", "1024")) * 1024
        records = _first_records(stream.records[start - stream.first :], page_bytes)
        head = struct.pack(">QQ", stream.end, stream.first)
        body = encode_records(KeyedRecord(key, value) for key, value in records)
        await self._reply(conn, 200, head + body)
        return True

    async def _newest(self, conn: ServerConnection, query: dict[str, str]) -> None:
        stream = self.stream(query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(stream.newest.items())
        ]
        reply = {"items": items, "hasMore": False, "end": stream.end}
        await self._reply(conn, 200, json.dumps(reply).encode())

    async def _reply(self, conn: ServerConnection, status: int, body: bytes) -> None:
        if conn in self._silent:
            await anyio.sleep_forever()
        headers = [] if self.era is None else [(ERA_HEADER, str(self.era).encode())]
        await conn.send_reply(status, headers, body)


def _first_records(
    records: list[tuple[str, bytes | None]], page_bytes: int
) -> list[tuple[str, bytes | None]]:
    """Return as many records as a page holds, one at least."""
    size = 0
    for count, (key, value) in enumerate(records):
        size += 5 + len(key) + len(value or b"")
        if count and size > page_bytes:
            return records[:count]
    return records


def _decode_records(body: bytes) -> list[tuple[str, bytes | None]]:
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + length], body[4 + length :]
        size = 1 + content[0]
        records.append((content[1:size].decode(), content[size:] or None))
    return records
