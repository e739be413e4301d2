from __future__ import annotations

import time

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import configuration, entry_harness, route
from tests.standins.scripted_server import Script, ScriptedServer, event
from tests.standins.stamped_server import StampedServer

EVENTS = 5
SLOW_GAP_SECONDS = 0.75
"""Longer than the time after which a silent endpoint is avoided."""
TIME_LEFT_MS = 2000
STOP_SECONDS = 0.5
"""Time after the deadline within which a stalled stream has ended."""
SLOW_TIMEOUT_MS = 10_000
DRIPPING = Script((event(1),), endless=b"x", endless_gap=0.1)


@async_test
async def test_slow_but_sound_stream_is_not_cut():
    """Pauses don't end a stream, nor does the time that all of it takes."""
    engine = StampedServer("engine-1", events=EVENTS)
    engine.event_gap = SLOW_GAP_SECONDS
    slow = route(
        "draft",
        "/draft/",
        "streaming",
        "engine",
        sessionAffinity=True,
        timeoutMs=SLOW_TIMEOUT_MS,
    )
    document = configuration(routes=[slow])
    async with entry_harness(engines=(engine,), document=document) as harness:
        answer = await harness.call(
            "/draft/1", tokens="35,60", time_left_ms=SLOW_TIMEOUT_MS
        )
        assert answer.status == 200
        assert answer.is_complete
        assert answer.body.count(b"data:") == EVENTS


@async_test
async def test_stalled_stream_that_sends_a_byte_now_and_then_ends_at_its_deadline():
    """It never looks complete, and the endpoint doesn't work on."""
    server = ScriptedServer("e-1", [DRIPPING], events=4)
    async with entry_harness(engines=(server,)) as harness:
        asked_at = time.monotonic()
        answer = await harness.call(
            "/draft/1", tokens="35,60", time_left_ms=TIME_LEFT_MS
        )
        took = time.monotonic() - asked_at
        assert not answer.is_complete
        assert took < TIME_LEFT_MS / 1000 + STOP_SECONDS
        with anyio.fail_after(5):
            while not server.closed_early:
                await anyio.sleep(0.02)
