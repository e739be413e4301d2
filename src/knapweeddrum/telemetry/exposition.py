"""Counters, gauges and histograms in the Prometheus text format.

prometheus_client is imported at the first scrape, because it takes longer to load than
the rest of an entry process.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from knapweeddrum.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "knapweed"


class MetricsCollector:
    """Prometheus collector for the metrics and gauges of one process."""

    def __init__(self, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        from prometheus_client import core

        counters = core.CounterMetricFamily(
            f"{PREFIX}_events", "Events by name", labels=["name"]
        )
        for name, count in sorted(self._metrics.counts.items()):
            counters.add_metric([name], count)
        yield counters
        for name, value in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", name, value=value)
        durations = core.HistogramMetricFamily(
            f"{PREFIX}_duration_seconds", "Durations by name", labels=["name"]
        )
        for name, histogram in sorted(self._metrics.durations.items()):
            durations.add_metric([name], histogram.cumulative_counts(), histogram.total)
        yield durations


def exposition(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics and gauges in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics, gauges))
    return generate_latest(registry)
