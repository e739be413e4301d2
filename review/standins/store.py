"""Stand-in for the platform's metadata store: keyed topics of one partition each.

It follows the section "The platform's metadata store" of PROTOCOL.md: appends are all
or nothing and in order, ``at`` is a condition, reads wait for records, and
``log-newest`` returns the newest record of each key.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import urllib.parse
from collections.abc import Callable

from review.standins import wire

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500

Records = list[tuple[str, bytes]]


class Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.grown = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        offset = len(self.records)
        for content in contents:
            key, value = split(content)
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


def split(content: bytes) -> tuple[str, bytes]:
    size = 1 + content[0]
    return content[1:size].decode(), content[size:]


class Store:
    """Serves the topics; ``late`` tells the delay of an append that gets no answer."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.late: Callable[[str, Records], float | None] = lambda *_: None
        self.appends = 0
        self.late_appends = 0
        self.address = ""
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write as the operator or a server does; bytes are written as they are."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topic(topic).append([bytes([len(key)]) + key.encode() + raw])

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await wire.read_head(reader)) is not None:
                message.body = await wire.read_body(reader, message)
                answer = await self._answer(message)
                if answer is None:
                    # "A channel on which a response is lost returns nothing further."
                    await reader.read()
                    break
                await asyncio.sleep(ANSWER_SECONDS)
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, message: wire.Message) -> bytes | None:
        target = urllib.parse.urlsplit(message.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        topic = self.topic(query["topic"])
        if target.path == "/-/log-append":
            return self._append(query, topic, message.body)
        if target.path == "/-/log-read":
            return await self._read(topic, query)
        return self._newest(topic, query)

    def _append(self, query, topic: Topic, body: bytes) -> bytes | None:
        contents = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            contents.append(body[4 : 4 + size])
            body = body[4 + size :]
        self.appends += 1
        at = query.get("at")
        delay = self.late(query["topic"], [split(c) for c in contents])
        if delay is not None:
            self.late_appends += 1
            task = asyncio.ensure_future(self._append_late(delay, topic, at, contents))
            self._tasks.add(task)
            return None
        if at is not None and int(at) != len(topic.records):
            return wire.reply(412, json.dumps({"end": len(topic.records)}).encode())
        offset = topic.append(contents)
        answer = {"offset": offset, "end": len(topic.records)}
        return wire.reply(200, json.dumps(answer).encode())

    async def _append_late(self, delay, topic, at, contents) -> None:
        await asyncio.sleep(delay)
        if at is None or int(at) == len(topic.records):
            topic.append(contents)

    async def _read(self, topic: Topic, query) -> bytes:
        start = int(query["from"])
        deadline = asyncio.get_running_loop().time() + int(query.get("waitMs", 0)) / 1e3
        while len(topic.records) <= start:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(topic.grown.wait(), left)
        data = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            data += struct.pack(">I", len(content)) + content
        return wire.reply(200, data)

    def _newest(self, topic: Topic, query) -> bytes:
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        answer = {"items": items, "hasMore": more, "end": len(topic.records)}
        return wire.reply(200, json.dumps(answer).encode())
