"""Log of the calls to the store."""

from __future__ import annotations

import math
import time

from knapweeddrum.platform.store_call import StoreCall
from knapweeddrum.platform.store_client import LATE_SECONDS
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import store_counter
from knapweeddrum.telemetry.entry_events import STORE_CALL_FAILED
from knapweeddrum.value.link_source import LinkSource


class StoreCallLog:
    """Counts the calls, and logs what kept an answer from this host.

    The pauses between tries bound the number of lines.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx

    def record(self, call: StoreCall) -> None:
        """Record a call that has ended."""
        ctx = self._ctx
        now = time.monotonic()
        ctx.metrics.count(store_counter(call.kind, call.outcome))
        if call.first_seconds is not None:
            ctx.link_load.record_trip(
                LinkSource.STORE, call.first_seconds, now, is_answered=True
            )
        if call.error:
            self._log_failure(call, now)

    def record_late(self) -> None:
        """Record that a read has no whole answer in time."""
        self._ctx.link_load.record_trip(
            LinkSource.STORE, LATE_SECONDS, time.monotonic(), is_answered=False
        )

    def _log_failure(self, call: StoreCall, now: float) -> None:
        ctx = self._ctx
        ctx.events.emit(
            STORE_CALL_FAILED,
            call=call.kind,
            stream=call.stream,
            outcome=call.outcome,
            error=call.error,
            after_ms=_milliseconds(call.seconds),
            received_bytes=call.received,
            on_new_connection=call.on_new_connection,
            asked_twice=call.asked_twice,
            config_age_ms=_milliseconds(now - ctx.configuration_read_at),
            lag_ms=_milliseconds(ctx.loop_lag.recent(now)),
            link_behind=round(ctx.link_load.level(now), 3),
            link_bytes_per_second=ctx.link_sources.rates(now),
        )


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * 1000) if math.isfinite(seconds) else None
