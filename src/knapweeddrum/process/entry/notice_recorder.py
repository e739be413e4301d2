"""Records what endpoints say of themselves in their answers."""

from __future__ import annotations

import time

from knapweeddrum.core.placing.back_off import BackOff
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.platform.endpoint_protocol import REFUSED_STATUS, EndpointReplyHead
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import notice_counter
from knapweeddrum.telemetry.entry_events import ENDPOINT_LIMIT, ENDPOINT_NOTICE
from knapweeddrum.value.endpoint_notice import EndpointNotice

FIRST_ERROR_STATUS = 400

MAX_RETURN_SPREAD_SECONDS = 0.25
"""Time over which the hosts return to an endpoint after its back-off."""


def record_notices(
    ctx: EntryContext, state: EndpointState, head: EndpointReplyHead, sent_at: float
) -> None:
    """Record what the head of an endpoint's own answer says.

    ``sent_at`` is the monotonic time at which the request was sent.
    """
    now = time.monotonic()
    _record_load(ctx, state, head, now)
    _record_limit(ctx, state, head, sent_at, now)
    if head.leaving and state.notices.record_leaving(now):
        _report(ctx, state, EndpointNotice.LEAVING, None)
    if not head.not_run and head.status != REFUSED_STATUS:
        state.notices.record_acceptance()
        return
    state.notices.record_refusal(now)
    if head.back_off is not None:
        _record_back_off(ctx, state, head.back_off, now)


def _record_load(
    ctx: EntryContext, state: EndpointState, head: EndpointReplyHead, now: float
) -> None:
    if head.load is not None:
        state.record_load(head.load, now)
    if not head.has_malformed_load:
        return
    ctx.metrics.count(notice_counter(EndpointNotice.LOAD_IGNORED))
    if state.record_malformed_load():
        _emit(ctx, state, EndpointNotice.LOAD_IGNORED, None)


def _record_limit(
    ctx: EntryContext,
    state: EndpointState,
    head: EndpointReplyHead,
    sent_at: float,
    now: float,
) -> None:
    if head.limit.is_malformed:
        _report(ctx, state, EndpointNotice.IGNORED, None)
        return
    limits = ctx.endpoint_limits
    instance = instance_name(state.entry)
    per_second = head.limit.per_second
    if per_second is not None:
        is_change = limits.observe_named(instance, per_second, sent_at, now)
    elif _is_served(head):
        is_change = limits.observe_unnamed(instance, sent_at)
    else:
        return
    if not is_change:
        return
    notice = (
        EndpointNotice.LIMIT if per_second is not None else EndpointNotice.LIMIT_END
    )
    ctx.metrics.count(notice_counter(notice))
    ctx.events.emit(
        ENDPOINT_LIMIT,
        endpoint=state.entry.endpoint_id,
        service=state.entry.service,
        per_second=per_second,
        status=head.status,
        not_run=head.not_run,
        sent_before=round(now - sent_at, 3),
    )


def _is_served(head: EndpointReplyHead) -> bool:
    """Return whether the endpoint began the work, so that it would name its limit."""
    return head.stamped and not head.not_run and head.status < FIRST_ERROR_STATUS


def _record_back_off(
    ctx: EntryContext, state: EndpointState, back_off: BackOff, now: float
) -> None:
    seconds = back_off.believed_seconds
    if seconds is None:
        _report(ctx, state, EndpointNotice.IGNORED, None)
        return
    spread = ctx.rng.uniform(0.0, MAX_RETURN_SPREAD_SECONDS)
    state.notices.record_back_off(now + seconds + spread)
    _report(ctx, state, EndpointNotice.BACK_OFF, seconds)


def _report(
    ctx: EntryContext,
    state: EndpointState,
    notice: EndpointNotice,
    seconds: float | None,
) -> None:
    ctx.metrics.count(notice_counter(notice))
    _emit(ctx, state, notice, seconds)


def _emit(
    ctx: EntryContext,
    state: EndpointState,
    notice: EndpointNotice,
    seconds: float | None,
) -> None:
    ctx.events.emit(
        ENDPOINT_NOTICE,
        endpoint=state.entry.endpoint_id,
        service=state.entry.service,
        notice=notice,
        seconds=seconds,
    )
