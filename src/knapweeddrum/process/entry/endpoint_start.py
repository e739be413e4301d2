"""Tells which start of an endpoint answers on a connection."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError, NoReplyError
from knapweeddrum.platform.start_report import (
    MAX_REPORT_BYTES,
    REPORT_TARGET,
    decode_started_at,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import start_reply_counter
from knapweeddrum.telemetry.entry_events import ENDPOINT_START_ASKED
from knapweeddrum.value.start_reply import StartReply

START_TIMEOUT_SECONDS = 0.25


def is_listed_start(
    ctx: EntryContext, state: EndpointState, conn: ClientConnection
) -> bool:
    """Return whether the start that wrote the entry certainly answers.

    The connection must be open: it has led to one process ever since it was opened.
    """
    return conn.opened_at <= ctx.instances.running_at(instance_name(state.entry))


def serving_version(
    ctx: EntryContext, state: EndpointState, conn: ClientConnection
) -> str:
    """Return the software version that answers, UNKNOWN_VERSION unless certain."""
    if is_listed_start(ctx, state, conn):
        return state.entry.software_version
    return UNKNOWN_VERSION


async def ask_start(
    ctx: EntryContext, state: EndpointState, conn: ClientConnection
) -> StartReply:
    """Ask on an idle connection which start answers there, and record the reply.

    After NO_REPLY the connection can't be used any more.
    """
    asked_at = time.monotonic()
    instance = instance_name(state.entry)
    reply = await _reply(state, conn)
    if reply is StartReply.LISTED:
        ctx.instances.record_running(instance, asked_at)
    elif reply is StartReply.OTHER:
        ctx.instances.record_ended(instance)
    elif reply is StartReply.UNSTATED:
        ctx.instances.record_hidden_start(instance)
    ctx.metrics.count(start_reply_counter(reply))
    if reply is not StartReply.LISTED:
        ctx.events.emit(
            ENDPOINT_START_ASKED,
            endpoint=state.entry.endpoint_id,
            reply=reply,
            listed_start_ms=state.entry.started_at_ms,
        )
    return reply


async def _reply(state: EndpointState, conn: ClientConnection) -> StartReply:
    try:
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            started_at_ms = await _started_at(state.entry.address, conn)
    except (ExchangeError, TimeoutError):
        return StartReply.NO_REPLY
    if started_at_ms is None:
        return StartReply.UNSTATED
    is_listed = started_at_ms == state.entry.started_at_ms
    return StartReply.LISTED if is_listed else StartReply.OTHER


async def _started_at(address: str, conn: ClientConnection) -> int | None:
    headers = [(b"Host", address.encode())]
    async with conn.exchange(b"GET", REPORT_TARGET, headers, b"") as head:
        body = await conn.read_body(MAX_REPORT_BYTES)
    if not conn.finish():
        raise NoReplyError("the connection ended with the report")
    return decode_started_at(head.status, body)
