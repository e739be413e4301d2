"""Simulated callers of model requests."""

from __future__ import annotations

import dataclasses
import random

import anyio

from knapweeddrum.core.budget.request_usage import RequestUsage
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.value.refusal_reason import RefusalReason
from tools.budget_model.fleet import Fleet
from tools.budget_model.host import HOSTS, Host
from tools.budget_model.model_router import ModelRouter
from tools.budget_model.streams import BUDGET

BUSY_HOST_FRACTION = 0.4
"""Fraction of requests sent to one host; the rest goes to all hosts uniformly."""

RESERVED_TOKENS_RANGE = (600, 2_000)
USED_FRACTION_RANGE = (0.1, 0.6)
"""Range of the fraction of a reservation that is used; most callers cancel early."""

STREAM_SECONDS_RANGE = (1.0, 8.0)
DEADLINE_SECONDS = 30.0
RETRY_DELAY_SECONDS = 1.0

MEAN_USED_TOKENS = sum(RESERVED_TOKENS_RANGE) / 2 * sum(USED_FRACTION_RANGE) / 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A model request: tokens to reserve, tokens used, and duration of its stream."""

    key: str
    tokens: int
    used: int
    seconds: float


class Workload:
    """Sends requests with Poisson arrivals, more to one host than to others."""

    def __init__(self, fleet: Fleet, rate: float) -> None:
        """``rate`` is in requests per second."""
        self._fleet = fleet
        self._rate = rate
        self._rng = random.Random(f"{fleet.seed}/callers")
        self._runs = 0

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds`` and wait until all have ended."""
        end = self._fleet.clock() + seconds
        async with anyio.create_task_group() as tasks:
            while self._fleet.clock() < end:
                await anyio.sleep(self._rng.expovariate(self._rate))
                self._fleet.tally.requests += 1
                req = self._request(self._fleet.tally.requests)
                tasks.start_soon(self._send, req, self._home())

    def _request(self, number: int) -> Request:
        tokens = self._rng.randint(*RESERVED_TOKENS_RANGE)
        used = int(tokens * self._rng.uniform(*USED_FRACTION_RANGE))
        seconds = self._rng.uniform(*STREAM_SECONDS_RANGE)
        return Request(f"org/{number}", tokens, used, seconds)

    def _home(self) -> Host:
        if self._rng.random() < BUSY_HOST_FRACTION:
            return HOSTS[0]
        return self._rng.choice(HOSTS)

    async def _send(self, req: Request, home: Host) -> None:
        """Send a request; retry it if its router is killed."""
        while True:
            router = self._router(home)
            if await self._serve(req, router):
                return
            await anyio.sleep(RETRY_DELAY_SECONDS)

    def _router(self, home: Host) -> ModelRouter:
        for step in range(len(HOSTS)):
            router = self._fleet.routers[HOSTS[(home.index + step) % len(HOSTS)]]
            if not (router.is_killed or router.is_draining) and router.tasks:
                return router
        raise RuntimeError("no router is running")

    async def _serve(self, req: Request, router: ModelRouter) -> bool:
        """Run a request in a router; return False if the router was killed."""
        ended = anyio.Event()
        served = []

        async def serve() -> None:
            try:
                await self._stream(req, router)
                served.append(req)
            finally:
                ended.set()

        router.streams += 1
        router.tasks.start_soon(serve)
        await ended.wait()
        router.streams -= 1
        return bool(served)

    async def _stream(self, req: Request, router: ModelRouter) -> None:
        tally = self._fleet.tally
        deadline = self._fleet.clock() + DEADLINE_SECONDS
        try:
            reservation = await router.allowances.reserve(BUDGET, req.tokens, deadline)
        except RefusedError as exc:
            is_exhausted = exc.refusal.reason is RefusalReason.BUDGET_EXHAUSTED
            tally.refuse(req.tokens, is_exhausted)
            return
        self._runs += 1
        run_id = f"run-{self._runs}"
        tally.dispatch(req.tokens, req.used)
        try:
            await anyio.sleep(req.seconds)
        finally:
            tally.end(req.tokens, req.used)
        figures = RequestUsage(req.key, run_id, req.used, "finished")
        router.allowances.settle(reservation, figures)
        tally.answer(req.key)
