"""Asks other hosts directly whether they live, and tells them that this one does."""

from __future__ import annotations

import time

import anyio
import msgspec

from knapweeddrum.message.call.sighting import SightingExchange
from knapweeddrum.process.entry.emptied_records import EmptiedRecords
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.telemetry.counters import SIGHTING_ASKED
from knapweeddrum.value.documents import decode_json
from knapweeddrum.value.host_record import HostRecord

SIGHTING_PATH = b"/sightings"

ASK_INTERVAL_SECONDS = 0.5
MAX_OTHERS_ASKED = 16
"""Other hosts up to which each is asked that is in doubt."""

SAMPLED_HOSTS = 8
"""Hosts asked in a larger fleet, at random; they tell of the others."""


class SightingTask:
    """Keeps up who lives while heartbeats don't get through.

    Asks as long as a host sends no heartbeats, or the store does not take those of this
    host, and no longer: on calm days the store tells all, and hosts that start learn of
    all others at once, not of some before the rest.
    """

    def __init__(
        self, ctx: EntryContext, peers: PeerClient, fleet_view: FleetView
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._fleet_view = fleet_view
        self._emptied = EmptiedRecords(ctx)

    async def run(self) -> None:
        """Ask while there is doubt, until cancelled."""
        while True:
            await anyio.sleep(ASK_INTERVAL_SECONDS)
            chosen = self._choose()
            async with anyio.create_task_group() as tasks:
                for host in chosen:
                    tasks.start_soon(self._ask, host)
            if chosen:
                self._fleet_view.refresh(time.monotonic())

    async def exchange(self, body: bytes) -> PageAnswer:
        """Take in what another host tells and tell it the same."""
        told = decode_json(body, SightingExchange)
        now = time.monotonic()
        if self._apply(told, now):
            self._fleet_view.refresh(now)
        return PageAnswer(200, msgspec.json.encode(self._message()))

    def _choose(self) -> list[HostRecord]:
        ctx = self._ctx
        now = time.monotonic()
        others = ctx.hosts.known_hosts()
        doubted = ctx.hosts.suspects(now)
        if not ctx.standing.writes(now):
            doubted = others
        if not doubted or len(others) <= MAX_OTHERS_ASKED:
            return doubted
        return ctx.rng.sample(others, SAMPLED_HOSTS)

    async def _ask(self, host: HostRecord) -> None:
        asked_at = time.monotonic()
        self._ctx.metrics.count(SIGHTING_ASKED)
        told = await self._peers.post(
            host.peer_address, SIGHTING_PATH, self._message(), SightingExchange
        )
        if told is not None:
            self._apply(told, asked_at)

    def _message(self) -> SightingExchange:
        now = time.monotonic()
        return SightingExchange(
            self._ctx.own_record(now), self._ctx.peer_contacts.sightings(now)
        )

    def _apply(self, told: SightingExchange, at: float) -> bool:
        """Apply what a host told that lived at a time; return if it was unknown."""
        ctx = self._ctx
        host = told.host
        if host.name == ctx.settings.host_name:
            return False
        is_news = ctx.hosts.apply_direct(host, at)
        ctx.peer_contacts.record(host.name, host.incarnation, at)
        others = [s for s in told.sightings if s.name != ctx.settings.host_name]
        ctx.peer_contacts.merge(others, at)
        ctx.hosts.apply_sightings(others, at)
        ctx.endpoint_limits.merge(host.limits, at)
        self._emptied.apply_told(host, at)
        return is_news
