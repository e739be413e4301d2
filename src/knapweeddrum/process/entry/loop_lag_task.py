"""Measures how far this process is behind."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import HOST_BEHIND_COUNT
from knapweeddrum.telemetry.entry_events import HOST_BEHIND, HOST_CAUGHT_UP

MEASURE_INTERVAL_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 2.0
"""Interval of the log lines of a process that stays behind."""
LAG_HISTOGRAM = "loop_lag"


class LoopLagTask:
    """Measures how late timers fire, and logs when this process falls behind."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._was_behind = False
        self._reported_at = float("-inf")
        self._reported_processor_seconds = 0.0
        self._reported_claim_seconds = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = time.monotonic() + MEASURE_INTERVAL_SECONDS
            self._ctx.loop_lag.expect(due_at)
            await anyio.sleep(MEASURE_INTERVAL_SECONDS)
            now = time.monotonic()
            lag = max(0.0, now - due_at)
            self._ctx.loop_lag.record(lag, now)
            self._ctx.metrics.timing(LAG_HISTOGRAM, lag)
            self._report(now)

    def _report(self, now: float) -> None:
        is_behind = self._ctx.loop_lag.is_behind
        if is_behind:
            self._ctx.metrics.count(HOST_BEHIND_COUNT)
            if now - self._reported_at >= REPORT_INTERVAL_SECONDS:
                self._log_behind(now)
        elif self._was_behind:
            self._ctx.events.emit(HOST_CAUGHT_UP)
        self._was_behind = is_behind

    def _log_behind(self, now: float) -> None:
        ctx = self._ctx
        processor_seconds = time.process_time()
        claim_seconds = ctx.claim_meter.seconds
        ctx.events.emit(
            HOST_BEHIND,
            lag_ms=int(ctx.loop_lag.recent(now) * 1000),
            processor_ms=_milliseconds(
                processor_seconds - self._reported_processor_seconds
            ),
            claims_ms=_milliseconds(claim_seconds - self._reported_claim_seconds),
            in_progress=ctx.in_progress,
        )
        self._reported_at = now
        self._reported_processor_seconds = processor_seconds
        self._reported_claim_seconds = claim_seconds


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
