"""Records what endpoints say of themselves in their answers."""

from __future__ import annotations

import time

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.platform.endpoint_protocol import EndpointReplyHead
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import notice_counter
from knapweeddrum.telemetry.events import ENDPOINT_NOTICE
from knapweeddrum.value.endpoint_notice import EndpointNotice


def record_notices(
    ctx: EntryContext, state: EndpointState, head: EndpointReplyHead
) -> None:
    """Record what the head of an endpoint's own answer says."""
    now = time.monotonic()
    if head.leaving and state.notices.record_leaving(now):
        _report(ctx, state, EndpointNotice.LEAVING, None)


def _report(
    ctx: EntryContext,
    state: EndpointState,
    notice: EndpointNotice,
    seconds: float | None,
) -> None:
    ctx.metrics.count(notice_counter(notice))
    ctx.events.emit(
        ENDPOINT_NOTICE,
        endpoint=state.entry.endpoint_id,
        service=state.entry.service,
        notice=notice,
        seconds=seconds,
    )
