"""What a host believes of one endpoint."""

from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_condition import EndpointCondition
from knapweeddrum.core.placing.load_report import LoadReport
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.health_limits import HealthLimits
from knapweeddrum.core.routing.health_state import HealthState
from knapweeddrum.core.routing.health_tracker import HealthTracker

SILENCE_SECONDS = 0.7
"""Age of an unanswered request at which an endpoint that says nothing is avoided."""

REPORT_SECONDS = 1.5
"""Age at which a load report counts no longer."""

HEALTH_LIMITS = HealthLimits(
    consecutive_failures=3,
    error_rate=0.4,
    error_rate_samples=8,
    error_rate_weight=0.15,
    base_ejection_seconds=1.0,
    max_ejection_seconds=8.0,
    probe_successes=2,
)


class EndpointState:
    """Requests in flight from this host, reported load and health of one endpoint.

    Belief comes from what requests to the endpoint do. Times are monotonic seconds.
    """

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.unread_tokens = 0
        """Prompt tokens of requests from this host without a first event."""
        self._health = HealthTracker(HEALTH_LIMITS)
        self._heard_at = float("-inf")
        self._unanswered: dict[str, float] = {}
        self._report: LoadReport | None = None
        self._reported_at = float("-inf")

    def begin(self, attempt_id: str, tokens: int, now: float) -> None:
        """Take note of a request that is sent."""
        self.in_flight += 1
        self.unread_tokens += tokens
        self._unanswered[attempt_id] = now
        self._health.begin(now)

    def heard(self, now: float) -> None:
        """Take note of any byte from the endpoint."""
        self._heard_at = now

    def answered(self, attempt_id: str, tokens: int) -> None:
        """Take note of the first piece of an answer; repeats change nothing."""
        if self._unanswered.pop(attempt_id, None) is not None:
            self.unread_tokens -= tokens

    def end(
        self,
        attempt_id: str,
        tokens: int,
        result: AttemptResult,
        started_at: float,
        now: float,
    ) -> None:
        """Take note of the end of a request."""
        self.answered(attempt_id, tokens)
        self.in_flight -= 1
        self._health.finish(result, started_at, now)

    def unreachable(self, now: float) -> None:
        """Take note of a connection that could not be established."""
        self._health.eject(now)

    def report(self, report: LoadReport, now: float) -> None:
        """Take the load that an answer reported."""
        self._report = report
        self._reported_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether a request waits long for an endpoint that says nothing."""
        if not self._unanswered:
            return False
        waiting_since = next(iter(self._unanswered.values()))
        return now - max(waiting_since, self._heard_at) > SILENCE_SECONDS

    def condition(self, now: float) -> EndpointCondition:
        """Return whether the endpoint is used, and the first reason why not."""
        if self.entry.draining:
            return EndpointCondition.DRAINING
        if self.is_silent(now):
            return EndpointCondition.SILENT
        state = self._health.state(now)
        if state is not HealthState.HEALTHY:
            return EndpointCondition(state.value)
        return EndpointCondition.FULL if self.is_full(now) else EndpointCondition.USABLE

    def is_believed(self, now: float) -> bool:
        """Return whether the endpoint is believed to serve requests."""
        return not self.is_silent(now) and (
            self._health.state(now) is HealthState.HEALTHY
            or self._health.may_probe(now)
        )

    def is_probing(self, now: float) -> bool:
        """Return whether the next request tells if the endpoint works again."""
        return self._health.state(now) is HealthState.PROBING

    def load(self, now: float) -> float:
        """Return requests that run or wait there, as far as known."""
        if self._report is None or now - self._reported_at > REPORT_SECONDS:
            return float(self.in_flight)
        reported = self._report.running + self._report.waiting
        return float(max(reported, self.in_flight))

    def is_full(self, now: float) -> bool:
        """Return whether the endpoint reported requests that wait for a slot."""
        if self._report is None or now - self._reported_at > REPORT_SECONDS:
            return False
        return self._report.waiting > max(2, self._report.slots // 2)
