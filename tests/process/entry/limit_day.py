"""Hosts before endpoints that name limits, in virtual time and without a network."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TypeVar, cast

import anyio
import msgspec

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.process.entry.endpoint_permits import EndpointPermits
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import (
    PEER_UNRESPONSIVE_SECONDS,
    PeerClient,
)
from knapweeddrum.process.entry.permit_desk import PermitDesk
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
    peer_address,
    virtual_clock,
)
from tools.budget_model.virtual_loop import run_virtual

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

NAMED_AT = 2.0
"""Time from which on the endpoints name their limits."""
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ANSWER_SECONDS = 0.05
PEER_SECONDS = 0.002
HEARTBEAT_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPlan:
    """Hosts, endpoints and callers; times in seconds of the day."""

    hosts: int
    limit: float
    demand: float
    """Requests a second from all callers."""
    endpoints: int = 3
    callers_at: int = 0
    """Hosts that callers use, 0 for all."""
    seconds: float = 30.0
    ends_at: float = float("inf")
    """Time from which on no limit is named."""
    restart_at: float = float("inf")
    """Time at which the owner of the first endpoint's permits starts again."""
    cut_at: float = float("inf")
    """Time from which on it reaches no other host for six seconds."""


class _Peers:
    def __init__(self, day: LimitDay, number: int) -> None:
        self._day = day
        self._number = number
        self._until: dict[str, float] = {}

    def is_unresponsive(self, address: str) -> bool:
        return self._until.get(address, 0.0) > anyio.current_time()

    async def post(
        self,
        address: str,
        _path: bytes,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout: float,
    ) -> ReplyT | None:
        day = self._day
        day.questions += 1
        with anyio.move_on_after(timeout):
            await anyio.sleep(PEER_SECONDS)
            other = day.number_at(address)
            if other in day.cut or self._number in day.cut:
                await anyio.sleep_forever()
            answer = await day.desks[other].answer(msgspec.json.encode(message))
            await anyio.sleep(PEER_SECONDS)
            return msgspec.json.decode(answer.body, type=reply_type)
        self._until[address] = anyio.current_time() + PEER_UNRESPONSIVE_SECONDS
        return None


class LimitDay:
    """Plays one day; arrivals are counted at the endpoints."""

    def __init__(self, plan: LimitPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.states = [
            EndpointState(EndpointEntry(f"e{n}", "engine", f"10.1.0.{n}:1", "a", 8))
            for n in range(plan.endpoints)
        ]
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.contexts: list[EntryContext] = []
        self.desks: list[PermitDesk] = []
        self.permits: list[EndpointPermits] = []
        self.cut: set[int] = set()
        self.questions = 0

    def play(self) -> LimitDay:
        run_virtual(self._play)
        return self

    @property
    def worst_window(self) -> int:
        """Return the most arrivals in four seconds, once all hosts must know."""
        counted_from = NAMED_AT + STABLE_SECONDS
        until = self.plan.ends_at
        return max(
            sum(1 for at in times if first <= at < min(until, first + WINDOW_SECONDS))
            for times in self.arrivals.values()
            for first in times
            if counted_from <= first < until
        )

    @property
    def allowed(self) -> float:
        return 1.5 * self.plan.limit * WINDOW_SECONDS + 5

    def used(self, begun: float, ended: float) -> float:
        """Return the part of the limits that was used in a span."""
        arrived = sum(
            1 for times in self.arrivals.values() for at in times if begun <= at < ended
        )
        plan = self.plan
        return arrived / (plan.limit * plan.endpoints * (ended - begun))

    def number_at(self, address: str) -> int:
        return next(n for n in range(self.plan.hosts) if peer_address(n) == address)

    def owner(self) -> int:
        """Return the host that gives the permits of the first endpoint."""
        name = instance_name(self.states[0].entry)
        return next(
            n
            for n, ctx in enumerate(self.contexts)
            if not ctx.token_owners_before(name)
        )

    async def _play(self) -> None:
        plan = self.plan
        with virtual_clock():
            for number in range(plan.hosts):
                self._start(number)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._beat)
                tasks.start_soon(self._callers)
                tasks.start_soon(self._restart)
                tasks.start_soon(self._cut)
                await anyio.sleep(plan.seconds)
                tasks.cancel_scope.cancel()

    def _start(self, number: int) -> None:
        store = DistantStore(SharedStream(), 0.0)
        ctx = make_context(number, ClaimRacePlan(hosts=self.plan.hosts), store)
        for position, state in enumerate(self.states):
            ctx.service_list.apply_entry(state.entry.endpoint_id, position, state.entry)
        desk = PermitDesk(ctx)
        peers = cast("PeerClient", _Peers(self, number))
        if number < len(self.contexts):
            self.contexts[number], self.desks[number] = ctx, desk
            self.permits[number] = EndpointPermits(ctx, peers, desk)
            return
        self.contexts.append(ctx)
        self.desks.append(desk)
        self.permits.append(EndpointPermits(ctx, peers, desk))

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            now = anyio.current_time()
            told = [
                (n, ctx.endpoint_limits.told(now))
                for n, ctx in enumerate(self.contexts)
                if n not in self.cut and ctx.endpoint_limits.told(now)
            ]
            for number, ctx in enumerate(self.contexts):
                if number in self.cut:
                    continue
                for sender, limits in told:
                    if sender != number:
                        ctx.endpoint_limits.merge(limits, now)

    async def _callers(self) -> None:
        plan = self.plan
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self.rng.expovariate(plan.demand))
                number = self.rng.randrange(plan.callers_at or plan.hosts)
                tasks.start_soon(self._request, number)

    async def _request(self, number: int) -> None:
        ctx, permits = self.contexts[number], self.permits[number]
        while True:
            now = anyio.current_time()
            limits = ctx.endpoint_limits
            states = [
                s for s in self.states if not limits.wait(instance_name(s.entry), now)
            ]
            if not states:
                return
            state = self.rng.choice(states)
            if await permits.acquire(state):
                await self._send(ctx, state)
                return

    async def _send(self, ctx: EntryContext, state: EndpointState) -> None:
        now = anyio.current_time()
        self.arrivals[state.entry.endpoint_id].append(now)
        is_named = NAMED_AT <= now < self.plan.ends_at
        await anyio.sleep(ANSWER_SECONDS)
        limit = self.plan.limit if is_named else None
        ctx.endpoint_limits.observe(
            instance_name(state.entry), limit, anyio.current_time()
        )

    async def _restart(self) -> None:
        if self.plan.restart_at < self.plan.seconds:
            await anyio.sleep(self.plan.restart_at)
            self._start(self.owner())

    async def _cut(self) -> None:
        if self.plan.cut_at < self.plan.seconds:
            await anyio.sleep(self.plan.cut_at)
            self.cut.add(self.owner())
            await anyio.sleep(6.0)
            self.cut.clear()
