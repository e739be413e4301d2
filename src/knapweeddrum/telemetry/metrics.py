"""Counters and duration histograms of one process."""

from __future__ import annotations

import collections

import statsd

from knapweeddrum.telemetry.counters import refusal_counter, retry_counter
from knapweeddrum.telemetry.histogram import Histogram
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason


class Metrics:
    """Counters and histograms in memory, also sent to statsd if it is configured."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.durations: dict[str, Histogram] = {}
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal under its reason."""
        self.count(refusal_counter(reason))

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry under its reason."""
        self.count(retry_counter(reason))

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram ``name``."""
        histogram = self.durations.get(name)
        if histogram is None:
            histogram = self.durations[name] = Histogram()
        histogram.observe(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
