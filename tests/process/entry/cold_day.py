"""Hosts before endpoints that become cold, in virtual time and without a network."""

from __future__ import annotations

import dataclasses
from typing import cast

import anyio

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.placing.cold_endpoints import LIST_OLD_SECONDS
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.send_check import require_sendable
from tests.process.entry.limit_day import LimitDay, LimitHost, LimitPlan

COLD_PER_SECOND = 7.5
MAX_IN_A_SECOND = 16
"""Whole part of 7.5 x 1.5 + 5."""
COLD_AT = 10.0
"""Time at which the endpoints become cold."""
COLD_SECONDS = 100.0
READ_SECONDS = 0.5
WRITE_SECONDS = 1.2
"""Time between two entries of an endpoint; its position tells when one was written."""
CONNECT_SECONDS = 0.25
SLOW_CONNECTS = 0.2
"""Part of the requests that wait for a connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Hosts that stand still from ``at`` on; what they hold they send afterwards."""

    at: float
    seconds: float
    hosts: tuple[int, ...]


class ColdDay(LimitDay):
    """Plays a day on which all endpoints become cold."""

    def __init__(
        self, plan: LimitPlan, seed: int, freezes: tuple[Freeze, ...] = ()
    ) -> None:
        super().__init__(plan, seed)
        self._freezes = freezes
        self.cold_from = COLD_AT
        self.requested: list[float] = []
        """Times at which callers sent requests."""

    @property
    def most_in_a_second(self) -> int:
        """Return the most arrivals at one endpoint in any second of its cold time.

        They are counted from when hosts that are cut off take their list for old.
        """
        return self.most_from(COLD_AT + LIST_OLD_SECONDS)

    def served(self, first: float, last: float) -> float:
        """Return the part of the requests of a time that arrived in it."""
        counted = [
            sum(first <= at < last for at in times)
            for times in (self.requested, *self.arrivals.values())
        ]
        return sum(counted[1:]) / counted[0]

    def most_from(self, begun: float) -> int:
        """Return the most arrivals at one endpoint in any second from a time on."""
        return max(
            (
                sum(1 for at in times if first <= at < first + 1.0)
                for times in self.arrivals.values()
                for first in times
                if first >= begun
            ),
            default=0,
        )

    def prepare(self, host: LimitHost) -> None:
        cold = host.ctx.endpoint_limits.cold
        cold.set_ramps({"engine": ColdRamp(COLD_PER_SECOND, COLD_SECONDS)})
        self._read_list(host)

    async def _callers(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_lists)
            await super()._callers()

    async def _read_lists(self) -> None:
        while True:
            for host in self.hosts:
                is_cut = host.number in self.store.cut
                if host.is_running and not is_cut and not self._frozen_for(host):
                    self.read_store(host)
            await anyio.sleep(READ_SECONDS)

    def read_store(self, host: LimitHost) -> None:
        """Read what was written to the store since the read before."""
        self._read_list(host)

    def _read_list(self, host: LimitHost) -> None:
        now = anyio.current_time()
        cold = host.ctx.endpoint_limits.cold
        written_at = now - now % WRITE_SECONDS
        left = COLD_SECONDS if written_at >= self.cold_from else 0.0
        for entry in self.entries:
            written = dataclasses.replace(entry, cold_remaining=left)
            position = int(written_at * 1000)
            cold.observe_entry(instance_name(entry), written, position, now)
        listed = [instance_name(entry) for entry in self.entries]
        cold.observe_read(listed, now, int(now * 1000) + 1)

    def _frozen_for(self, host: LimitHost) -> float:
        """Return the seconds for which a host stands still yet."""
        now = anyio.current_time()
        return max(
            (
                freeze.at + freeze.seconds - now
                for freeze in self._freezes
                if host.number in freeze.hosts
                and freeze.at <= now < freeze.at + freeze.seconds
            ),
            default=0.0,
        )

    def reaches(self, one: int, other: int) -> bool:
        frozen = any(self._frozen_for(self.hosts[n]) for n in (one, other))
        return not frozen and super().reaches(one, other)

    async def _request(self, host: LimitHost) -> None:
        self.requested.append(anyio.current_time())
        await anyio.sleep(self._frozen_for(host))
        await super()._request(host)

    async def _send(self, host: LimitHost, state: EndpointState) -> None:
        job = _Job(host.permits.permit_time(state))
        if self.rng.random() < SLOW_CONNECTS:
            await anyio.sleep(self.rng.uniform(0.0, CONNECT_SECONDS))
        await anyio.sleep(self._frozen_for(host))
        try:
            require_sendable(host.ctx, cast("RequestJob", job), state)
        except AttemptError:
            return
        await super()._send(host, state)


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    permit_at: float | None
