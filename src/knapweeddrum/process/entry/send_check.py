"""Checks that a request may still be sent to the endpoint chosen for it."""

from __future__ import annotations

import time

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.endpoint_permits import PERMIT_LIFETIME_SECONDS
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState


def require_sendable(ctx: EntryContext, job: RequestJob, state: EndpointState) -> None:
    """Raise AttemptError if an endpoint is barred to a request since it was chosen.

    Opening a connection takes up to 0.25 s, and a host may be frozen meanwhile.
    """
    data_centre = state.entry.data_centre
    if ctx.emptied.is_emptied(data_centre):
        raise AttemptError(
            RetryReason.DATA_CENTRE_EMPTIED,
            RunState.NOT_RUN,
            f"data centre {data_centre} was emptied",
        )
    now = time.monotonic()
    if ctx.endpoint_limits.cold.limit(instance_name(state.entry), now) is None:
        return
    if job.permit_at is None or now - job.permit_at > PERMIT_LIFETIME_SECONDS:
        raise AttemptError(
            RetryReason.PERMIT_LAPSED, RunState.NOT_RUN, "no permit for a cold endpoint"
        )
