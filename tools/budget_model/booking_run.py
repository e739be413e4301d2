"""One run of a booking scenario."""

from __future__ import annotations

import collections
import random

import anyio

from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.process.router.held_request_claim import HeldRequestClaim
from knapweeddrum.value.run_state import RunState
from tools.budget_model.booking_row import BookingRow
from tools.budget_model.booking_scenario import BookingScenario
from tools.budget_model.booking_service import BookingService, LostReplyError
from tools.budget_model.fleet import Fleet
from tools.budget_model.host import HOSTS
from tools.budget_model.model_router import ModelRouter
from tools.budget_model.strategy import STRATEGIES
from tools.budget_model.virtual_loop import run_virtual

BOOKINGS_PER_SECOND = 4.0
"""Mean arrival rate of bookings, per second."""

MAX_CALLER_ATTEMPTS = 3
"""Attempts of a caller before it gives up."""

RETRY_DELAY_SECONDS = 2.0
DEADLINE_SECONDS = 10.0
ROUTER_RESTART_DELAY_SECONDS = 3.0
FLEET_START_SECONDS = 5.0
BILLING_SETTLE_SECONDS = 30.0

WITH_CLAIMS = "with_claims"
WITHOUT_CLAIMS = "without_claims"


class BookingRun:
    """Callers that send bookings and retries; counts the run states they are told."""

    def __init__(self, scenario: BookingScenario, strategy: str, seed: int) -> None:
        self._scenario = scenario
        self._strategy = strategy
        self._seed = seed
        self._rng = random.Random(f"{seed}/bookings")
        self._service = BookingService(scenario.lost_fraction, self._rng)
        self._run_states: collections.Counter[RunState] = collections.Counter()
        self._requests = 0
        self._false_not_run = 0
        self._wrong_answers = 0

    def row(self) -> BookingRow:
        """Return the figures of the run."""
        bookings = self._service.bookings.values()
        return BookingRow(
            scenario=self._scenario.name,
            way=self._strategy,
            seed=self._seed,
            requests=self._requests,
            booked_twice=sum(count > 1 for count in bookings),
            false_not_run=self._false_not_run,
            wrong_answers=self._wrong_answers,
            answered=self._run_states[RunState.RAN],
            not_run=self._run_states[RunState.NOT_RUN],
            unknown=self._run_states[RunState.UNKNOWN],
        )

    async def main(self) -> None:
        """Simulate the fleet, the scenario's events and the load to the end."""
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(STRATEGIES[0], self._seed, tasks, anyio.current_time)
            await anyio.sleep(FLEET_START_SECONDS)
            for event in self._scenario.events:
                tasks.start_soon(event.run_when_due, fleet)
            await self._load(fleet)
            await anyio.sleep(BILLING_SETTLE_SECONDS)
            tasks.cancel_scope.cancel()

    async def _load(self, fleet: Fleet) -> None:
        end = fleet.clock() + self._scenario.seconds
        async with anyio.create_task_group() as tasks:
            while fleet.clock() < end:
                await anyio.sleep(self._rng.expovariate(BOOKINGS_PER_SECOND))
                self._requests += 1
                key = f"org/booking-{self._requests}"
                for copy in range(self._scenario.copies):
                    tasks.start_soon(self._send, fleet, key, self._requests + copy)

    async def _send(self, fleet: Fleet, key: str, first_router_index: int) -> None:
        """Try routers in the order of hosts until the booking is answered."""
        for number in range(MAX_CALLER_ATTEMPTS):
            router = _live_router(fleet, first_router_index + number)
            run_state = await self._ask(fleet, key, router)
            if run_state is RunState.RAN:
                break
            await anyio.sleep(RETRY_DELAY_SECONDS)
        self._run_states[run_state] += 1

    async def _ask(self, fleet: Fleet, key: str, router: ModelRouter) -> RunState:
        """Send a request to one router; return the run state that the caller learns."""
        run_state = RunState.UNKNOWN
        ended = anyio.Event()

        async def attempt() -> None:
            nonlocal run_state
            try:
                run_state = await self._attempt(fleet, key, router)
            finally:
                ended.set()

        router.tasks.start_soon(attempt)
        await ended.wait()
        return run_state

    async def _attempt(self, fleet: Fleet, key: str, router: ModelRouter) -> RunState:
        try:
            answer = await self._answer(fleet, key, router)
        except RefusedError as exc:
            return self._check_refusal(key, exc.refusal.run_state)
        except LostReplyError:
            return RunState.UNKNOWN
        self._wrong_answers += answer != self._service.answer(key)
        return RunState.RAN

    async def _answer(self, fleet: Fleet, key: str, router: ModelRouter) -> bytes:
        if self._strategy == WITHOUT_CLAIMS:
            return await self._dispatch(fleet, key, router, None)
        deadline = fleet.clock() + DEADLINE_SECONDS
        with router.claims.open_claim(key) as claim:
            recorded = await router.claims.acquire(claim, key, deadline)
            if recorded is not None:
                return recorded.body
            try:
                answer = await self._dispatch(fleet, key, router, claim)
            except LostReplyError:
                await claim.record_no_answer()
                raise
            await claim.record_answer(200, "text/plain", answer)
            return answer

    async def _dispatch(
        self,
        fleet: Fleet,
        key: str,
        router: ModelRouter,
        claim: HeldRequestClaim | None,
    ) -> bytes:
        """Send the request to the service, unless the scenario kills the router."""
        if self._rng.random() < self._scenario.killed_before_fraction:
            await _kill_router(fleet, router)
        if claim is not None:
            claim.mark_dispatched()
        if self._rng.random() < self._scenario.killed_after_fraction:
            self._service.bookings[key] += 1
            await _kill_router(fleet, router)
        return await self._service.book(key)

    def _check_refusal(self, key: str, run_state: RunState) -> RunState:
        if run_state is RunState.NOT_RUN and self._service.bookings[key]:
            self._false_not_run += 1
        return run_state


def run_booking(scenario: BookingScenario, strategy: str, seed: int) -> BookingRow:
    """Run a booking scenario and return its figures."""
    run = BookingRun(scenario, strategy, seed)
    run_virtual(run.main)
    return run.row()


async def _kill_router(fleet: Fleet, router: ModelRouter) -> None:
    """Kill the router, which cancels this task, and schedule its restart."""
    router.kill()
    fleet.restart_router_later(router.host, ROUTER_RESTART_DELAY_SECONDS)
    await anyio.sleep_forever()


def _live_router(fleet: Fleet, first_router_index: int) -> ModelRouter:
    for step in range(len(HOSTS)):
        router = fleet.routers[HOSTS[(first_router_index + step) % len(HOSTS)]]
        if not router.is_killed and router.tasks:
            return router
    raise RuntimeError("no router is running")
