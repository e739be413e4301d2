"""Placement of requests under which endpoints crashed, and records of the crashes."""

from __future__ import annotations

import time
from collections.abc import Iterable

from knapweeddrum.core.admission.crash_evidence import CrashSign
from knapweeddrum.core.admission.crash_suspect import is_part
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.core.placing.placer import PlacementRequest
from knapweeddrum.core.routing.failover_policy import RETRY_AFTER_FRACTION
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.refused_error import RefusedError
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.entry_events import (
    CRASHES_COUNTED,
    ENDPOINT_ENDED,
    PART_BLAMED,
)
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

MAX_LOGGED_FINGERPRINTS = 8


def crash_constraints(ctx: EntryContext, job: RequestJob) -> Placement:
    """Return what earlier crashes mean for the placement of a request.

    Raises RefusedError if it must not run now.
    """
    part = ctx.crash_register.blamed_part(job.suspect_parts, time.time())
    if part is not None:
        raise RefusedError(_part_refusal(job, part))
    decision = ctx.crash_register.decide(job.fingerprint, time.time())
    if isinstance(decision, Placement):
        return decision
    raise RefusedError(_refusal(job, decision))


def choose_apart_from_suspects(
    ctx: EntryContext,
    states: list[EndpointState],
    req: PlacementRequest,
    constraints: Placement,
) -> EndpointState | None:
    """Return an endpoint where no other suspect runs.

    Without such an endpoint, a suspect gets none, another request any.
    """
    now = time.monotonic()
    avoided = ctx.crash_register.avoided_endpoints(time.time())
    if not avoided:
        return ctx.placer.choose(states, req, now)
    apart = [state for state in states if instance_name(state.entry) not in avoided]
    state = ctx.placer.choose(apart, req, now)
    if state is not None or constraints.suspect:
        return state
    return ctx.placer.choose(states, req, now)


def record_crash(
    ctx: EntryContext, entry: EndpointEntry, sign: CrashSign, after: float
) -> None:
    """Record that an endpoint crashed, against the requests that ran there.

    ``after`` is the time in seconds from the loss of its connection to this finding.
    """
    marked = ctx.crash_register.record_crash(instance_name(entry), time.time())
    ctx.metrics.count(counters.ENDPOINT_ENDED)
    ctx.events.emit(
        ENDPOINT_ENDED,
        endpoint=entry.endpoint_id,
        service=entry.service,
        sign=sign,
        after_ms=int(after * 1000),
        requests=sum(1 for suspect in marked if not is_part(suspect)),
        fingerprints=list(marked[:MAX_LOGGED_FINGERPRINTS]),
    )
    _log_blamed_parts(ctx)


def merge(ctx: EntryContext, records: Iterable[CrashRecord], source: str) -> None:
    """Apply the records of other hosts and log requests that are judged anew."""
    for record in records:
        register = ctx.crash_register
        now = time.time()
        before = register.crash_count(record.fingerprint, now)
        register.merge([record], now)
        crashes = register.crash_count(record.fingerprint, now)
        if crashes != before:
            ctx.events.emit(
                CRASHES_COUNTED,
                fingerprint=record.fingerprint,
                crashes=crashes,
                blamed=register.is_blamed(record.fingerprint, now),
                source=source,
            )
    _log_blamed_parts(ctx)


def _log_blamed_parts(ctx: EntryContext) -> None:
    """Log the parts that are newly blamed, and what that rests on."""
    for record in ctx.crash_register.newly_blamed_parts(time.time()):
        ctx.metrics.count(counters.PART_BLAMED_COUNT)
        ctx.events.emit(
            PART_BLAMED,
            part=record.fingerprint,
            crashes=[mark.endpoint for mark in record.marks],
            seconds=round(record.marks[-1].at - record.marks[0].at, 3),
            rank=record.rank,
        )


def _part_refusal(job: RequestJob, part: str) -> Refusal:
    if job.may_have_run:
        # The status of the other reason promises that the request has not run.
        return Refusal(RefusalReason.ENDPOINT_FAILED, RunState.UNKNOWN, detail=part)
    return Refusal(RefusalReason.PART_QUARANTINED, RunState.NOT_RUN, detail=part)


def _refusal(job: RequestJob, decision: Refusal) -> Refusal:
    """Return the refusal of a request as its caller sees it."""
    is_final = decision.retry_after is None
    reason = RefusalReason.QUARANTINED if is_final else RefusalReason.SUSPECTED
    detail = f"{decision.detail}, fingerprint {job.fingerprint}"
    if job.may_have_run:
        # Statuses of these reasons promise that the request has not run.
        return Refusal(RefusalReason.ENDPOINT_FAILED, RunState.UNKNOWN, detail=detail)
    retry_after = decision.retry_after
    if retry_after is not None:
        time_left = job.deadline - time.monotonic()
        retry_after = max(0.01, min(retry_after, time_left * RETRY_AFTER_FRACTION))
    return Refusal(reason, RunState.NOT_RUN, retry_after, detail)
