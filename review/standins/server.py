"""Stand-in for a server: a model engine that streams events, or a plain service."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time

from review.standins import wire
from review.standins.store import Store

HEARTBEAT_SECONDS = 1.2
CLOSE_POLL_SECONDS = 0.005


@dataclasses.dataclass
class Run:
    attempt: str
    target: str
    tenant: str
    resumed_after: str
    wanted: int = 0
    """Events of the whole answer."""
    events: int = 0
    whole: bool = False


class Server:
    """Runs requests and records them; writes its entry to the store by heartbeats.

    With ``events`` it answers with so many events, ``gap`` seconds apart, the first
    after ``first`` seconds; else it works for ``work`` seconds. Without ``framed`` its
    answers have no length and end with their channel. Without a store it writes no entry.
    """

    def __init__(self, store: Store | None, name: str, service: str, **options) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.version = options.get("version", "v1")
        self.events = options.get("events", 0)
        self.gap = options.get("gap", 0.02)
        self.first = options.get("first", 0.03)
        self.work = options.get("work", 0.045)
        self.slots = options.get("slots", 64)
        self.framed = options.get("framed", True)
        self.zone = options.get("zone", "zone-a")
        self.runs: list[Run] = []
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.address = ""
        self._beats: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        if self.store is not None:
            self.write_entry()
            self._beats = asyncio.ensure_future(self._beat())

    def stop_beats(self) -> None:
        self._beats.cancel()

    def write_entry(self, **changes) -> None:
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.name, {**entry, **changes})

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_entry()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, EOFError):
            while (message := await wire.read_head(reader)) is not None:
                message.body = await wire.read_body(reader, message)
                if not await self._answer(message, reader, writer):
                    break
        writer.close()

    async def _answer(self, message, reader, writer) -> bool:
        target = message.first.split(" ")[1]
        if target == "/-/report":
            report = {"stage": "both", "running": self.running, "born": self.born}
            writer.write(wire.reply(200, json.dumps(report).encode()))
            return True
        if target == "/health":
            writer.write(wire.reply(200, Instance_Id=self.name))
            return True
        attempt = message.headers.get("attempt-id", "")
        if message.headers.get("expect-instance", self.name) != self.name:
            writer.write(wire.reply(421, Instance_Id=self.name, Attempt_Id=attempt))
            return True
        if self.running >= self.slots:
            writer.write(wire.reply(503, Not_Executed=1, Attempt_Id=attempt))
            return True
        run = Run(
            attempt,
            target,
            message.headers.get("tenant", ""),
            message.headers.get("last-event-id", ""),
            self.events_wanted(message),
        )
        self.runs.append(run)
        self.running += 1
        work = asyncio.ensure_future(self._run(run, writer))
        gone = asyncio.ensure_future(_wait_for_close(reader))
        try:
            # "Most servers drop a request when its channel closes."
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
            return self.framed and not gone.done()
        finally:
            self.running -= 1
            work.cancel()
            gone.cancel()

    def events_wanted(self, message: wire.Message) -> int:
        """Return the events of the answer to a request, 0 for a plain answer.

        A model engine writes as many as the request's body says, if it is a number.
        """
        if self.events and message.body.isdigit():
            return int(message.body)
        return self.events

    async def _run(self, run: Run, writer) -> None:
        stamp = f"{self.name}.{len(self.runs)}"
        named = {
            "Attempt-Id": run.attempt,
            "Response-Stamp": stamp,
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        if not run.wanted:
            await asyncio.sleep(self.work)
            run.whole = True
            body = f"done {run.attempt}".encode()
            writer.write(wire.head(200, {**named, "Content-Length": len(body)}) + body)
            await writer.drain()
            return
        await asyncio.sleep(self.first)
        named["Content-Type"] = "text/event-stream"
        framing = ("Transfer-Encoding", "chunked") if self.framed else ("Connection", "close")
        writer.write(wire.head(200, {**named, framing[0]: framing[1]}))
        for number in range(int(run.resumed_after or "0") + 1, run.wanted + 1):
            event = b"id: %d\ndata: %s %d\n\n" % (number, self.version.encode(), number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
            await writer.drain()
            run.events += 1
            await asyncio.sleep(self.gap)
        if self.framed:
            writer.write(b"0\r\n\r\n")
        run.whole = True
        await writer.drain()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Return when the other end has closed the channel."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(CLOSE_POLL_SECONDS)
