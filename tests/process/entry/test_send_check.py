from __future__ import annotations

import time
from typing import cast

import anyio

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.message.call.endpoint_permit import PermitRequest
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.endpoint_permits import PERMIT_LIFETIME_SECONDS
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.permit_desk import PermitDesk
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.send_check import require_sendable
from knapweeddrum.value.retry_reason import RetryReason
from tests.assertions import raises
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)

RATE = 7.5
ENTRY = EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8, cold_remaining=60.0)
STATE = EndpointState(ENTRY)


def _context() -> EntryContext:
    """Return the state of a host that has just read that the endpoint is cold."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    now = time.monotonic()
    cold = ctx.endpoint_limits.cold
    cold.set_ramps({"engine": ColdRamp(RATE, 20.0)})
    cold.observe_entry(instance_name(ENTRY), ENTRY, 1, now)
    cold.observe_read([instance_name(ENTRY)], now, 2)
    return ctx


def _job(permit_at: float | None) -> RequestJob:
    return cast("RequestJob", type("Job", (), {"permit_at": permit_at})())


@async_test
async def test_request_placed_while_the_endpoint_was_warm_needs_a_permit():
    """One that lapsed, as the host was frozen after it, counts as none."""
    ctx = _context()
    now = time.monotonic()
    require_sendable(ctx, _job(now), STATE)
    for permit_at in (None, now - PERMIT_LIFETIME_SECONDS - 0.1):
        with raises(AttemptError) as held:
            require_sendable(ctx, _job(permit_at), STATE)
        assert cast("AttemptError", held[0]).reason is RetryReason.PERMIT_LAPSED


@async_test
async def test_owner_that_has_not_read_of_a_cold_endpoint_keeps_to_its_ramp():
    """Its list is read up to half a second after that of the host that asks."""
    desk = PermitDesk(_context())
    warm = PermitRequest("e2", None, 1e6, "host-1/1")
    assert desk.give(warm).is_given
    cold = PermitRequest("e3", None, 1e6, "host-1/1", cold_per_second=RATE)
    assert not desk.give(cold).is_given


@async_test
async def test_host_that_has_not_read_who_lives_gives_no_permit():
    """Others may ask it by the heartbeats of its start before; they have an owner."""
    ctx = _context()
    desk = PermitDesk(ctx)
    question = PermitRequest(instance_name(ENTRY), None, 1e6, "host-1/1")
    for _ in range(2):
        assert not desk.give(question).is_given
        await anyio.sleep(3 / RATE)
    ctx.hosts_read_at = time.monotonic()
    assert not desk.give(question).is_given
    await anyio.sleep(3 / RATE)
    assert desk.give(question).is_given
