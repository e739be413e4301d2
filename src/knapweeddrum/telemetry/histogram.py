"""A latency histogram."""

from __future__ import annotations

import bisect

BUCKET_BOUNDS_SECONDS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0,
)  # fmt: skip
"""Upper bounds of the buckets; one more bucket counts longer durations."""


class Histogram:
    """Counts durations in buckets; ``total`` is their sum in seconds."""

    def __init__(self) -> None:
        self.buckets = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.buckets[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return the label of each upper bound and the count of durations up to it."""
        labels = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]
        count = 0
        rows = []
        for label, bucket in zip(labels, self.buckets, strict=True):
            count += bucket
            rows.append((label, float(count)))
        return rows
