"""Stand-in for a plain service that counts how often it runs each request."""

from __future__ import annotations

import collections
import contextlib
import time
from collections.abc import Iterator

import anyio

from knapweeddrum.endpoint.load_reply import LoadReply
from tests.standins.execution import Execution
from tests.standins.incoming_request import IncomingRequest
from tests.standins.plain_service_switches import PlainServiceSwitches
from tests.standins.responder import Responder
from tests.standins.serving import run_command
from tests.standins.stand_in import StandIn
from tests.standins.timed_values import TimedValues

LOAD_PATH = "/-/load"


class PlainServiceStandIn(StandIn[PlainServiceSwitches]):
    """Accepts any method and path; a request is counted before its reply is sent."""

    def __init__(self) -> None:
        self.switches = PlainServiceSwitches()
        self.executions: collections.Counter[Execution] = collections.Counter()
        self._running = 0
        self._loads: TimedValues[LoadReply] = TimedValues(self._load())

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Run a request, or report the load."""
        if req.path == LOAD_PATH:
            await responder.json(200, self._reported_load())
            return
        if self.switches.refuse:
            await responder.error(503, "refused", retry_after=1)
            return
        with self._slot():
            await self._run(req, responder)

    def records(self) -> object:
        """Return the number of executions by idempotency key, method and path."""
        entries = [
            {"key": item.key, "method": item.method, "path": item.path, "count": count}
            for item, count in self.executions.items()
        ]
        return {"executions": entries}

    async def _run(self, req: IncomingRequest, responder: Responder) -> None:
        key = req.headers.get("idempotency-key", "")
        execution = Execution(key=key, method=req.method, path=req.raw_path)
        self.executions[execution] += 1
        if self.switches.crash_marker.encode() in req.body:
            self.fault_injector.crash()
            return
        await anyio.sleep(self.switches.delay_seconds)
        if self.switches.cut_replies > 0:
            self.switches.cut_replies -= 1
            responder.cut()
            return
        reply = {
            "key": key,
            "method": req.method,
            "path": req.raw_path,
            "execution": self.executions[execution],
        }
        await responder.json(200, reply)

    @contextlib.contextmanager
    def _slot(self) -> Iterator[None]:
        self._running += 1
        self._loads.add(time.time(), self._load())
        try:
            yield
        finally:
            self._running -= 1
            self._loads.add(time.time(), self._load())

    def _load(self) -> LoadReply:
        slots = self.switches.slots
        return LoadReply(
            endpoint=self.switches.endpoint,
            running=min(self._running, slots),
            queued=max(self._running - slots, 0),
            slots=slots,
            leaving=self.switches.leaving,
            measured_at=time.time(),
        )

    def _reported_load(self) -> LoadReply:
        lag = self.switches.load_lag_seconds
        if not lag:
            return self._load()
        return self._loads.at(time.time() - lag)


if __name__ == "__main__":
    run_command(PlainServiceStandIn, __doc__)
