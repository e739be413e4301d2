"""Finds out which endpoints crashed."""

from __future__ import annotations

import time

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

from knapweeddrum.core.admission.crash_evidence import (
    CrashEvidence,
    CrashSign,
    Listing,
)
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.process.entry.crash_records import record_crash
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.lost_connection import LossCause, LostConnection
from knapweeddrum.telemetry.entry_events import ENDPOINT_EXAMINED
from knapweeddrum.value.identifiers import EndpointName

PROBE_INTERVAL_SECONDS = 0.25
SILENCE_CHECK_SECONDS = 0.25
PROBED_SIGNS = frozenset({CrashSign.REFUSED, CrashSign.UNANSWERED})
"""Signs that a host takes from its own connections alone."""


class CrashDetector:
    """Looks for signs that endpoints crashed after they lost connections.

    A crash is recorded against the requests that ran at the endpoint. If it has not
    crashed, they are not suspected.
    """

    def __init__(
        self, ctx: EntryContext, losses: MemoryObjectReceiveStream[LostConnection]
    ) -> None:
        self._ctx = ctx
        self._losses = losses
        self._open_cases: dict[EndpointName, CrashEvidence] = {}

    async def run(self) -> None:
        """Examine losses until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_silent, tasks)
            async for loss in self._losses:
                if not self._is_leaving(loss.state.entry):
                    self._open_case(loss, tasks)

    async def _watch_silent(self, tasks: TaskGroup) -> None:
        """Examine endpoints that owe answers and send nothing.

        They may have ended without closing their connections.
        """
        while True:
            await anyio.sleep(SILENCE_CHECK_SECONDS)
            now = time.monotonic()
            for state in list(self._ctx.open_attempts.values()):
                if instance_name(state.entry) in self._open_cases:
                    continue
                if state.is_unresponsive(now) and not self._is_draining(state.entry):
                    loss = LostConnection(state, now, LossCause.NO_ANSWER)
                    self._open_case(loss, tasks)

    def _open_case(self, loss: LostConnection, tasks: TaskGroup) -> None:
        key = instance_name(loss.state.entry)
        known = self._open_cases.get(key)
        self._log_loss(loss, known)
        if known is not None:
            known.renew(loss.lost_at)
            return
        evidence = self._open_cases[key] = CrashEvidence(loss.lost_at)
        tasks.start_soon(self._examine, key, loss.state, evidence)

    def _log_loss(self, loss: LostConnection, known: CrashEvidence | None) -> None:
        open_for = known.age(loss.lost_at) if known is not None else None
        self._ctx.events.emit(
            ENDPOINT_EXAMINED,
            endpoint=loss.state.entry.endpoint_id,
            cause=loss.cause,
            open_for_ms=int(open_for * 1000) if open_for is not None else None,
            answered=known is not None and known.has_answered,
        )

    async def _examine(
        self, key: EndpointName, state: EndpointState, evidence: CrashEvidence
    ) -> None:
        try:
            while not evidence.is_expired(time.monotonic()):
                if await self._is_settled(key, state, evidence):
                    return
                await anyio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            del self._open_cases[key]

    async def _is_settled(
        self, key: EndpointName, state: EndpointState, evidence: CrashEvidence
    ) -> bool:
        listing = self._listing(state.entry)
        probe = None
        probed_at = time.monotonic()
        is_in_use = not self._ctx.emptied.is_emptied(state.entry.data_centre)
        if is_in_use and evidence.needs_probe(listing, probed_at):
            probe = await self._ctx.connector.probe(state.entry)
        if evidence.is_alive(state.last_data_at):
            self._ctx.crash_register.forget_cuts(key)
            return True
        neighbour_data_at = self._neighbour_data_at(state)
        sign = evidence.judge(listing, probe, probed_at, neighbour_data_at)
        if sign is None:
            return False
        if sign in PROBED_SIGNS:
            is_gone = await self._ctx.connector.confirm_failure(state.entry)
            if not is_gone or evidence.is_alive(state.last_data_at):
                return False
        now = time.monotonic()
        state.record_end(now)
        record_crash(self._ctx, state.entry, sign, evidence.age(now))
        return True

    def _neighbour_data_at(self, state: EndpointState) -> float:
        """Return when another endpoint of the same data centre sent data last.

        Only what came from there directly shows that the path is not cut.
        """
        return max(
            (
                other.direct_data_at
                for other in self._ctx.endpoint_states.all()
                if other is not state
                and other.entry.data_centre == state.entry.data_centre
            ),
            default=float("-inf"),
        )

    def _is_leaving(self, entry: EndpointEntry) -> bool:
        """Return whether the end of the endpoint's connections was to be expected."""
        if self._ctx.service_list.get(entry.endpoint_id) is None:
            return self._listing(entry) is Listing.GONE
        return self._is_draining(entry)

    def _is_draining(self, entry: EndpointEntry) -> bool:
        listed = self._ctx.service_list.get(entry.endpoint_id)
        return listed is not None and listed.draining

    def _listing(self, entry: EndpointEntry) -> Listing:
        listed = self._ctx.service_list.get(entry.endpoint_id)
        if any(_is_successor(other, entry) for other in self._ctx.service_list.all()):
            return Listing.REPLACED
        return Listing.GONE if listed is None else Listing.LISTED


def _is_successor(other: EndpointEntry, entry: EndpointEntry) -> bool:
    """Return whether ``other`` is a later start at the address of ``entry``.

    The entry of the earlier start may still be listed.
    """
    if other.endpoint_id != entry.endpoint_id and other.address != entry.address:
        return False
    return instance_name(other) != instance_name(entry) and (
        other.started_at_ms >= entry.started_at_ms
    )
