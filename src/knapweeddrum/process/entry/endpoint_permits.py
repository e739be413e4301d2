"""Asks for permits to send requests to endpoints under a limit."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.core.placing.isolated_permits import IsolatedPermits
from knapweeddrum.message.call.endpoint_permit import PermitReply, PermitRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.permit_desk import PERMIT_PATH, PermitDesk
from knapweeddrum.value.identifiers import EndpointName

PERMIT_TIMEOUT_SECONDS = 0.1
PERMIT_LIFETIME_SECONDS = 0.5
"""Time from the question for a permit to the request within which it counts: a host
that wakes from a freeze would add permits of before to those of now."""
MAX_WAITS = 3
MAX_WAIT_SECONDS = 0.2
"""Longest time for which a request waits for a permit at once."""
MAX_WAIT_FRACTION = 0.1
"""The same, as a fraction of the time to the request's deadline."""
OWNER_SILENT_WAIT_SECONDS = 0.5
"""Time after which an owner that did not answer is asked again."""


class EndpointPermits:
    """Gets a permit for each request to an endpoint under a limit."""

    def __init__(self, ctx: EntryContext, peers: PeerClient, desk: PermitDesk) -> None:
        self._ctx = ctx
        self._peers = peers
        self._desk = desk
        self._isolated = IsolatedPermits()

    async def choose(
        self,
        choose: Callable[[], EndpointState],
        candidates: Callable[[], list[EndpointState]],
        deadline: float,
    ) -> EndpointState:
        """Return the endpoint that ``choose`` returns, once it has a permit.

        ``choose`` leaves out endpoints that may not be asked for one yet, and raises if
        none is left. If that is so for all candidates, waits a short time for the one
        that is free first; ``deadline`` is that of the request.
        """
        for _ in range(MAX_WAITS):
            wait = self.soonest(candidates())
            time_left = deadline - time.monotonic()
            if wait > min(MAX_WAIT_SECONDS, time_left * MAX_WAIT_FRACTION):
                break
            await anyio.sleep(wait)
            while self.soonest(candidates()) <= 0:
                state = choose()
                if await self.acquire(state):
                    return state
        while True:
            state = choose()
            if await self.acquire(state):
                return state

    def soonest(self, states: list[EndpointState]) -> float:
        """Return the seconds until any endpoint may have a permit, 0 for now."""
        return min((self._wait(state) for state in states), default=0.0)

    def may_ask(self, state: EndpointState) -> bool:
        """Return whether an endpoint has no limit, or may be asked for a permit."""
        return self._wait(state) <= 0

    def permit_time(self, state: EndpointState) -> float | None:
        """Return the time of a permit just acquired, None if none was needed."""
        now = time.monotonic()
        limit = self._ctx.endpoint_limits.limit(instance_name(state.entry), now)
        return now if limit is not None else None

    async def acquire(self, state: EndpointState) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        limits = self._ctx.endpoint_limits
        instance = instance_name(state.entry)
        now = time.monotonic()
        if limits.limit(instance, now) is None:
            return True
        if limits.wait(instance, now) > 0:
            return False
        told = limits.tell(instance, now)
        req = PermitRequest(
            instance,
            told.per_second,
            told.age,
            self._ctx.incarnation,
            told.unnamed_answers,
            limits.cold.limit(instance, now),
            limits.cold.is_list_old(now),
        )
        reply = await self._ask(req)
        is_late = time.monotonic() - now > PERMIT_LIFETIME_SECONDS
        if reply is None or is_late:
            return self._take_isolated(instance, OWNER_SILENT_WAIT_SECONDS)
        if not reply.is_given and reply.is_withheld:
            return self._take_isolated(instance, reply.wait)
        self._apply(instance, reply)
        return reply.is_given

    def _take_isolated(self, instance: EndpointName, wait: float) -> bool:
        """Take a permit of this host's own part, as no owner gives any.

        There are none for an endpoint that is known to have a limit.
        """
        ctx = self._ctx
        now = time.monotonic()
        limits = ctx.endpoint_limits
        per_second = limits.cold.limit_in_doubt(instance, now)
        if per_second is not None and limits.named(instance) is None:
            share = ctx.hosts.demand_share() or 1.0 / ctx.hosts.running_count()
            if self._isolated.take(instance, per_second * share, now):
                return True
            wait = self._isolated.wait(instance, now) or wait
        limits.close(instance, now + wait)
        return False

    def _wait(self, state: EndpointState) -> float:
        limits = self._ctx.endpoint_limits
        return limits.wait(instance_name(state.entry), time.monotonic())

    async def _ask(self, req: PermitRequest) -> PermitReply | None:
        owners = self._ctx.token_owners_before(req.instance)
        if not owners:
            return self._desk.give(req)
        address = owners[0].peer_address
        if self._peers.is_unresponsive(address):
            return None
        return await self._peers.post(
            address, PERMIT_PATH, req, PermitReply, PERMIT_TIMEOUT_SECONDS
        )

    def _apply(self, instance: EndpointName, reply: PermitReply) -> None:
        now = time.monotonic()
        limits = self._ctx.endpoint_limits
        limits.merge([reply.limit(instance)], now)
        if not reply.is_given:
            limits.close(instance, now + reply.wait)
