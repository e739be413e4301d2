from __future__ import annotations

import dataclasses
import json
from collections.abc import Sequence

import anyio

from tests.async_test import async_test
from tests.process.entry.crash_fleet import CrashFleet, SentRequest, crash_fleet
from tests.process.entry.entry_harness import STABLE_WINDOW_MS, entry_process
from tests.standins.crashing_service import CrashTime, FatalPart

WINDOW_SECONDS = STABLE_WINDOW_MS / 1000
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
"""Requests with the part that may arrive later than the window after the fifth."""
MIN_SERVED = 0.5
"""Part of the sound requests that begin, from twice the window after the fifth on."""
CRASHES_SECONDS = 10.0
INTERVAL_SECONDS = 0.4
ENDPOINTS = 8
COPY_AGE_SECONDS = 30.0
AWAY_SECONDS = 0.5
BAD = "bad"
FIRST = "f1:10"
"""First part, which the sound requests share."""
BAD_SECOND = f"{FIRST},{BAD}:10,53"
BAD_FIRST = f"{BAD}:10,54"
SOUND = (f"{FIRST},aa:10,53", f"{FIRST},bb", f"{FIRST},cc:10,54")


@dataclasses.dataclass(slots=True)
class Sent:
    crashing: list[SentRequest] = dataclasses.field(default_factory=list)
    sound: list[SentRequest] = dataclasses.field(default_factory=list)


async def send(fleet: CrashFleet, prefix: str, seconds: float) -> Sent:
    """Send crashing requests, and sound ones beside them."""
    sent = Sent()
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.send_prompts, (prefix,), 0.4, sent.crashing)
            tasks.start_soon(fleet.send_prompts, SOUND, 0.05, sent.sound)
    return sent


def served_after(requests: Sequence[SentRequest], begun: float) -> float:
    """Return the part of requests sent after a time that got a whole answer."""
    later = [req.status == 200 for req in requests if req.sent_at >= begun]
    assert len(later) >= 20
    return sum(later) / len(later)


async def assert_stopped(hosts: int, prefix: str, crash_time: CrashTime) -> None:
    """Check what endpoints and callers see while such requests come."""
    part = FatalPart(BAD.encode(), crash_time)
    async with crash_fleet(hosts, ENDPOINTS, fatal_part=part) as fleet:
        sent = await send(fleet, prefix, CRASHES_SECONDS)
        crashes = fleet.service.crash_times
        late = fleet.service.late_crashes(WINDOW_SECONDS, COUNTED_CRASHES)
        assert late <= MAX_LATE_REQUESTS, (late, len(crashes))
        fifth = crashes[min(len(crashes), COUNTED_CRASHES) - 1]
        served = served_after(sent.sound, fifth + 2 * WINDOW_SECONDS)
        assert served >= MIN_SERVED, served


@async_test
async def test_part_that_crashes_endpoints_is_stopped_after_the_fifth_crash():
    """No two of its requests are alike; sound ones share key and first part."""
    await assert_stopped(3, BAD_SECOND, CrashTime.BEFORE_HEAD)


@async_test
async def test_part_that_crashes_endpoints_after_an_event_is_stopped():
    """The end of the connection after a whole event is no whole answer."""
    await assert_stopped(3, BAD_SECOND, CrashTime.AFTER_EVENT)


@async_test
async def test_part_that_crashes_endpoints_inside_an_event_is_stopped():
    """The stream has been broken off."""
    await assert_stopped(3, BAD_SECOND, CrashTime.INSIDE_EVENT)


@async_test
async def test_first_part_that_crashes_endpoints_is_stopped_at_many_hosts():
    """Sound requests share the key and another part."""
    await assert_stopped(5, BAD_FIRST, CrashTime.BEFORE_HEAD)


@async_test
async def test_part_that_crashes_endpoints_is_known_to_hosts_that_start_later():
    """Also when all hosts that saw the crashes are gone."""
    part = FatalPart(BAD.encode())
    async with crash_fleet(2, ENDPOINTS, fatal_part=part) as fleet:
        await send(fleet, BAD_SECOND, CRASHES_SECONDS)
        before = len(fleet.service.crash_times)
        for host in fleet.hosts:
            host.process.kill()
        async with entry_process(fleet.store, fleet.store_address, "host-9") as host:
            await host.wait_until_ready()
            refused = await fleet.send_prompt(host, BAD_SECOND)
            sound = await fleet.send_prompt(host, SOUND[0])
            assert refused.answer is not None
            assert json.loads(refused.answer.body)["reason"] == "part_quarantined"
            assert sound.status == 200
            assert len(fleet.service.crash_times) == before


@async_test
async def test_part_that_crashes_endpoints_is_stored_again_after_the_store_returned():
    """The hosts that know of it write what the older copy lacks."""
    part = FatalPart(BAD.encode())
    async with crash_fleet(2, ENDPOINTS, fatal_part=part) as fleet:
        await send(fleet, BAD_SECOND, CRASHES_SECONDS)
        await fleet.store.return_from_copy(COPY_AGE_SECONDS, AWAY_SECONDS)
        await anyio.sleep(WINDOW_SECONDS)
        stored = fleet.store.stream("keyed.crashes").newest
        assert f"part:{BAD}" in stored
