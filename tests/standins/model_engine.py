"""Stand-in for a model engine, with a ledger of all runs."""

from __future__ import annotations

import time

import anyio
import msgspec

from knapweeddrum.endpoint.load_reply import LoadReply
from tests.standins.engine_run import EngineRun
from tests.standins.incoming_request import IncomingRequest
from tests.standins.model_engine_switches import ModelEngineSwitches
from tests.standins.prefix_cache import PrefixCache
from tests.standins.responder import Responder
from tests.standins.run_ledger_entry import RunLedgerEntry
from tests.standins.run_queue import RunQueue
from tests.standins.run_stream import RunStream
from tests.standins.serving import run_command
from tests.standins.stand_in import StandIn
from tests.standins.start_body import StartBody
from tests.standins.timed_values import TimedValues


class ModelEngineStandIn(StandIn[ModelEngineSwitches]):
    """Generates deterministic text, one token per part.

    As many runs as there are slots generate at a time; others wait in a queue.
    """

    def __init__(self) -> None:
        self.switches = ModelEngineSwitches()
        self.ledger: list[RunLedgerEntry] = []
        self._runs: dict[str, EngineRun] = {}
        self._running: dict[str, EngineRun] = {}
        self._queue = RunQueue()
        self._cache = PrefixCache()
        self._loads: TimedValues[LoadReply] = TimedValues(self._load())

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Serve a request of the model engine protocol."""
        match (req.method, *req.segments):
            case ("POST", "v1", "runs"):
                await self._start(req, responder)
            case ("GET", "v1", "runs", run_id, "events"):
                await self._resume(run_id, int(req.query.get("start", "0")), responder)
            case ("GET" | "DELETE", "v1", "runs", run_id):
                await self._usage(req.method, run_id, responder)
            case ("GET", "v1", "load"):
                await responder.json(200, self._reported_load())
            case ("GET", "v1", "cache-events"):
                await self._cache_events(int(req.query.get("after", "0")), responder)
            case _:
                await responder.error(404, "no such resource")

    def records(self) -> object:
        """Return the ledger of runs."""
        return {"runs": self.ledger}

    def crash(self) -> None:
        """Drop all connections, runs and the prefix cache; keep the ledger."""
        self.fault_injector.crash()
        for run in self._runs.values():
            run.crash()
        self._runs.clear()
        self._running.clear()
        self._cache.clear()
        self._record_load()

    async def _start(self, req: IncomingRequest, responder: Responder) -> None:
        try:
            start = msgspec.json.decode(req.body, type=StartBody)
        except msgspec.MsgspecError as exc:
            await responder.error(400, str(exc))
            return
        run = self._runs.get(start.run_id)
        if run is not None:
            run.entry.posts += 1
        elif self.switches.refuse:
            await responder.error(503, "refused", retry_after=1)
            return
        elif len(self._queue) >= self.switches.queue_limit:
            await responder.error(429, "queue is full", retry_after=1)
            return
        else:
            run = self._enqueue(start)
        await RunStream(run, self.switches).send(0, responder)

    def _enqueue(self, start: StartBody) -> EngineRun:
        entry = RunLedgerEntry(
            run_id=start.run_id,
            model=start.model,
            priority=start.priority,
            prompt_tokens=start.body.tokens,
            leaving=self.switches.leaving,
        )
        run = EngineRun(entry, start.body, start.output_limit)
        self.ledger.append(entry)
        self._runs[start.run_id] = run
        self._queue.push(run)
        self._fill_slots()
        return run

    def _fill_slots(self) -> None:
        while len(self._running) < self.switches.slots:
            run = self._queue.pop()
            if run is None:
                break
            self._running[run.entry.run_id] = run
            self.tasks.start_soon(self._generate, run)
        self._record_load()

    async def _generate(self, run: EngineRun) -> None:
        try:
            with run.scope:
                await self._generate_tokens(run)
        finally:
            self._release_slot(run)

    async def _generate_tokens(self, run: EngineRun) -> None:
        switches = self.switches
        if run.ended:
            return
        run.record_start()
        if run.prompt.contains(switches.crash_marker):
            self.crash()
            return
        hit = self._cache.use(
            run.prompt, switches.cache_prefixes, switches.cache_gap_every
        )
        prefill = switches.cached_prefill_seconds if hit else switches.prefill_seconds
        await anyio.sleep(prefill)
        while not run.ended:
            await anyio.sleep(self.switches.token_seconds)
            run.add_token()

    def _release_slot(self, run: EngineRun) -> None:
        if self._running.get(run.entry.run_id) is run:
            del self._running[run.entry.run_id]
            self._fill_slots()

    async def _resume(self, run_id: str, start: int, responder: Responder) -> None:
        run = self._runs.get(run_id)
        if run is None:
            await responder.error(404, "unknown run")
            return
        await RunStream(run, self.switches).send(start, responder)

    async def _usage(self, method: str, run_id: str, responder: Responder) -> None:
        run = self._runs.get(run_id)
        if run is None:
            await responder.error(404, "unknown run")
            return
        if method == "DELETE":
            run.cancel()
            self._release_slot(run)
        await responder.json(200, run.usage())

    async def _cache_events(self, after: int, responder: Responder) -> None:
        events = self._cache.events(after, self.switches.cache_lag_seconds)
        await responder.json(200, {"events": events})

    def _load(self) -> LoadReply:
        return LoadReply(
            endpoint=self.switches.endpoint,
            running=len(self._running),
            queued=len(self._queue),
            slots=self.switches.slots,
            leaving=self.switches.leaving,
            measured_at=time.time(),
        )

    def _record_load(self) -> None:
        self._loads.add(time.time(), self._load())

    def _reported_load(self) -> LoadReply:
        lag = self.switches.load_lag_seconds
        if not lag:
            return self._load()
        return self._loads.at(time.time() - lag)


if __name__ == "__main__":
    run_command(ModelEngineStandIn, __doc__)
