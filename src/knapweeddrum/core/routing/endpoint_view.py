"""State of one endpoint as a router sees it."""

from __future__ import annotations

from collections import deque

from knapweeddrum.core.routing.health_tracker import HealthTracker
from knapweeddrum.core.routing.leaving_source import LeavingSource
from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.value.identifiers import DataCentre, EndpointName

IN_FLIGHT_HISTORY_LENGTH = 512
"""Changes of the local in-flight count that are kept between two load reports."""


class EndpointView:
    """Last load report, local requests in flight, health and leaving notices."""

    def __init__(
        self, name: EndpointName, slots: int, data_centre: DataCentre | None = None
    ) -> None:
        self.name = name
        self.slots = slots
        self.data_centre = data_centre
        self.report: LoadSample | None = None
        self.in_flight = 0
        self.health = HealthTracker()
        self.leaving_notices: dict[LeavingSource, float] = {}
        self._history: deque[tuple[float, int]] = deque(maxlen=IN_FLIGHT_HISTORY_LENGTH)

    @property
    def leaving(self) -> bool:
        """Return whether any source says that the endpoint is leaving."""
        return bool(self.leaving_notices)

    @property
    def ejected_until(self) -> float:
        """Return when the current ejection ends, in monotonic seconds."""
        return self.health.ejected_until

    def report_age(self, now: float) -> float:
        """Return the age of the last load report in seconds; infinite without one."""
        if self.report is None:
            return float("inf")
        return max(0.0, now - self.report.measured_at)

    def other_routers_load(self) -> int:
        """Return the requests in the last report that other routers had sent."""
        if self.report is None:
            return 0
        own = self._in_flight_at(self.report.measured_at)
        return max(0, self.report.load - own)

    def store_report(self, sample: LoadSample) -> None:
        """Store a load report unless a newer one is known."""
        if self.report is not None and sample.measured_at < self.report.measured_at:
            return
        self.report = sample
        self._trim_history(sample.measured_at)

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        self._change_in_flight(1, now)
        self.health.begin(now)

    def end(self, now: float) -> None:
        """Count a request that ended."""
        self._change_in_flight(-1, now)

    def _change_in_flight(self, difference: int, now: float) -> None:
        if not self._history:
            self._history.append((float("-inf"), self.in_flight))
        self.in_flight = max(0, self.in_flight + difference)
        self._history.append((now, self.in_flight))

    def _in_flight_at(self, time: float) -> int:
        count = self._history[0][1] if self._history else self.in_flight
        for changed_at, value in self._history:
            if changed_at > time:
                break
            count = value
        return count

    def _trim_history(self, time: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time:
            self._history.popleft()
