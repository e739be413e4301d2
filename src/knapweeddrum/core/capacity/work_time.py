"""How long work takes at an endpoint, from what it reports."""

from __future__ import annotations

import collections

USUAL_SECONDS = 3.0
"""Time over whose reports the usual value is formed."""

MIN_REPORTS = 3
"""Reports that the usual value is formed of at least, even if they are older."""

MAX_REPORTS = 32

HALF_LIFE_SECONDS = 0.35
"""Time after which half of a report's difference from the usual value counts.

Slow moments last some 0.6 s, and reports are up to 0.2 s old.
"""

MILD_FACTOR = 1.5
"""Multiple of the service's work time above which an old usual value expires fast."""

EXPIRY_HALF_LIFE_SECONDS = 1.5
MILD_EXPIRY_HALF_LIFE_SECONDS = 6.0
"""Times after the last report in which half of what is above, and of what is up to,
MILD_FACTOR expires. An endpoint that gets no requests because it was slow is tried
again."""


class WorkTime:
    """Follows the work time of one endpoint, a multiple of the usual time.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_REPORTS
        )
        self.usual: float | None = None
        """Smallest of the last reports, None with fewer than MIN_REPORTS.

        Slow moments only raise reports, so the smallest is the one without them.
        """

    def record(self, factor: float, now: float) -> None:
        """Record a report."""
        reports = self._reports
        reports.append((now, factor))
        while len(reports) > MIN_REPORTS and now - reports[0][0] > USUAL_SECONDS:
            reports.popleft()
        if len(reports) >= MIN_REPORTS:
            self.usual = min(factor for _, factor in reports)

    def current(self, default: float, now: float) -> float:
        """Return the work time expected now; ``default`` is usual for the service."""
        if not self._reports:
            return default
        at, factor = self._reports[-1]
        usual = self._usual_at(default, now - at)
        if factor == usual:
            return usual
        weight = 0.5 ** (max(0.0, now - at) / HALF_LIFE_SECONDS)
        return float(usual + (factor - usual) * weight)

    def _usual_at(self, default: float, age: float) -> float:
        """Return the usual value ``age`` seconds after the last report."""
        usual = self.usual
        if usual is None:
            return default
        if usual <= default:
            return usual
        mild = min(usual, default * MILD_FACTOR)
        age = max(0.0, age)
        expected = default + (mild - default) * 0.5 ** (
            age / MILD_EXPIRY_HALF_LIFE_SECONDS
        )
        if usual > mild:
            expected += (usual - mild) * 0.5 ** (age / EXPIRY_HALF_LIFE_SECONDS)
        return float(expected)
