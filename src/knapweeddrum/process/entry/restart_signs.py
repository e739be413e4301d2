"""Signs that an endpoint has restarted since it wrote its entry."""

from __future__ import annotations

import time

from knapweeddrum.core.admission.crash_evidence import ProbeResult
from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import connection_key, instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.process.entry.entry_context import EntryContext

MIN_RESTART_SECONDS = 0.3
"""Time that an endpoint needs from the end of its connections to accepting new ones."""


def may_have_restarted(ctx: EntryContext, state: EndpointState, at: float) -> bool:
    """Return whether another process may serve than the one that wrote the entry.

    ``at`` is the time, in monotonic seconds, at which a connection to it is opened. A
    restart ends all connections. One that has been open since before a time at which
    the listed process was running, or such a time after the last loss, rules it out.
    """
    now = time.monotonic()
    key = connection_key(state.entry)
    if ctx.instances.has_ended(instance_name(state.entry)):
        return True
    running_at = ctx.instances.running_at(instance_name(state.entry))
    gone_at = max(state.unreachable_at, ctx.pool.lost_at(key, now))
    is_cut_before = at - state.cut_at > MIN_RESTART_SECONDS
    if gone_at <= running_at and not (state.cut_at > running_at and is_cut_before):
        return False
    return not ctx.pool.is_open_since(key, running_at, now)


def is_listed_start(
    ctx: EntryContext, state: EndpointState, conn: ClientConnection
) -> bool:
    """Return whether the process that wrote the entry certainly serves a connection."""
    return conn.opened_at <= ctx.instances.running_at(instance_name(state.entry))


def may_be_asked(ctx: EntryContext, state: EndpointState) -> bool:
    """Return whether a stream may go on at an endpoint, as far as is known of it.

    Signs decide only where the endpoint doesn't tell when it started.
    """
    instance = instance_name(state.entry)
    if ctx.instances.hides_start(instance):
        return not may_have_restarted(ctx, state, time.monotonic())
    return not ctx.instances.has_ended(instance)


def serving_version(
    ctx: EntryContext, state: EndpointState, conn: ClientConnection
) -> str:
    """Return the software version that answers on a connection, if it is certain."""
    if is_listed_start(ctx, state, conn):
        return state.entry.software_version
    if may_have_restarted(ctx, state, conn.opened_at):
        return UNKNOWN_VERSION
    return state.entry.software_version


def record_probe(
    state: EndpointState, probe: ProbeResult, lost_at: float, probed_at: float
) -> None:
    """Record what a connection that was tried after a loss says of a restart."""
    if probe is ProbeResult.REFUSED:
        state.unreachable_at = probed_at
    elif probe is ProbeResult.CONNECTED and probed_at - lost_at <= MIN_RESTART_SECONDS:
        state.cut_at = float("-inf")
