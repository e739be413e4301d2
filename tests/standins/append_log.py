"""Stand-in for the platform's append-only log."""

from __future__ import annotations

import collections

import anyio

from tests.standins.append_log_switches import AppendLogSwitches
from tests.standins.incoming_request import IncomingRequest
from tests.standins.log_stream import LogStream
from tests.standins.rate_limit import RateLimit
from tests.standins.responder import Responder
from tests.standins.serving import run_command
from tests.standins.stand_in import StandIn

RECORD_LIMIT_BYTES = 1024 * 1024
LAG_POLL_INTERVAL_SECONDS = 0.02


class AppendLogStandIn(StandIn[AppendLogSwitches]):
    """A log whose streams are kept in memory."""

    def __init__(self) -> None:
        self.switches = AppendLogSwitches()
        self.streams: dict[str, LogStream] = collections.defaultdict(LogStream)
        self.appends = 0
        self._rate = RateLimit()

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Append to a stream or read from it."""
        if self.switches.outage:
            await responder.error(503, "outage")
            return
        match req.segments:
            case ("v1", "streams", name, "records"):
                stream = self.streams[name]
            case _:
                await responder.error(404, "no such resource")
                return
        if req.method == "POST":
            await self._append(stream, req, responder)
        else:
            await self._read(stream, req, responder)

    def records(self) -> object:
        """Return the number of appends and the bounds of each stream."""
        streams = {
            name: {"first": stream.first, "next": stream.next}
            for name, stream in sorted(self.streams.items())
        }
        return {"appends": self.appends, "streams": streams}

    async def _append(
        self, stream: LogStream, req: IncomingRequest, responder: Responder
    ) -> None:
        if len(req.body) > RECORD_LIMIT_BYTES:
            await responder.error(413, "record too large")
            return
        if not self._rate.admit(self.switches.appends_per_second):
            await responder.error(429, "too many appends", retry_after=1)
            return
        offset = stream.append(req.body)
        self._expire(stream)
        self.appends += 1
        await anyio.sleep(self.switches.slow_seconds)
        if self.switches.lose_replies > 0:
            self.switches.lose_replies -= 1
            responder.cut()
            return
        await responder.json(200, {"offset": offset})

    async def _read(
        self, stream: LogStream, req: IncomingRequest, responder: Responder
    ) -> None:
        start = int(req.query.get("start", "0"))
        limit = int(req.query.get("limit", "1000"))
        await anyio.sleep(self.switches.slow_seconds)
        with anyio.move_on_after(float(req.query.get("wait", "0"))):
            await self._wait(stream, start)
        self._expire(stream)
        if start < stream.first:
            await responder.json(410, {"first": stream.first})
            return
        end = stream.visible_next(self.switches.read_lag_seconds)
        page = stream.page(start, limit, end)
        reply = {"first": stream.first, "next": end, "records": page}
        await responder.json(200, reply)

    async def _wait(self, stream: LogStream, start: int) -> None:
        while True:
            lag = self.switches.read_lag_seconds
            if stream.visible_next(lag) > start:
                return
            with anyio.move_on_after(LAG_POLL_INTERVAL_SECONDS if lag else None):
                await stream.appended.wait()

    def _expire(self, stream: LogStream) -> None:
        switches = self.switches
        stream.expire(switches.retention_records, switches.retention_seconds)


if __name__ == "__main__":
    run_command(AppendLogStandIn, __doc__)
