"""Load and health of one endpoint, as a host observes them."""

from __future__ import annotations

from knapweeddrum.core.capacity.endpoint_capacity import EndpointCapacity
from knapweeddrum.core.capacity.prompt_parts import NO_PROMPT, PromptParts
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_condition import EndpointCondition
from knapweeddrum.core.placing.endpoint_notices import EndpointNotices
from knapweeddrum.core.placing.load_report import LoadReport
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.health_limits import HealthLimits
from knapweeddrum.core.routing.health_state import HealthState
from knapweeddrum.core.routing.health_tracker import HealthTracker

UNRESPONSIVE_AFTER_SECONDS = 0.7
"""Time without data, with a request unanswered, after which an endpoint is avoided."""

ENDED_SECONDS = 5.0
"""Time after its crash for which an endpoint is avoided, unless it sends data."""

LOAD_REPORT_LIFETIME_SECONDS = 1.5
"""Age at which a load report is no longer used."""

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

    Health follows from the results of requests to the endpoint. Times are in monotonic
    seconds.
    """

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.rank_key = entry.endpoint_id.encode()
        """Encoded id, as it enters the rank of each session."""
        self.notices = EndpointNotices()
        self.capacity = EndpointCapacity()
        self.in_flight = 0
        self.pending_prompt_tokens = 0
        """Prompt tokens of requests from this host whose answer has not begun."""
        self._health = HealthTracker(HEALTH_LIMITS)
        self.last_data_at = float("-inf")
        """Time at which data arrived from the endpoint last."""
        self.direct_data_at = float("-inf")
        """The same for data that did not come through another host."""
        self._ended_at = float("-inf")
        self._unanswered: dict[str, float] = {}
        self._report: LoadReport | None = None
        self._reported_at = float("-inf")
        self._is_report_malformed = False

    def start_attempt(
        self,
        attempt_id: str,
        tokens: int,
        now: float,
        prompt: PromptParts = NO_PROMPT,
    ) -> None:
        """Record that a request is sent."""
        if prompt.tokens:
            self.capacity.start(attempt_id, prompt, self.load(now), now)
        self.in_flight += 1
        self.pending_prompt_tokens += tokens
        self._unanswered[attempt_id] = now
        self._health.begin(now)

    def record_data(self, now: float, *, is_direct: bool = True) -> None:
        """Record that data arrived from the endpoint, by its own path or another."""
        self.last_data_at = now
        if is_direct:
            self.direct_data_at = now

    def record_answer_start(self, attempt_id: str, tokens: int, now: float) -> None:
        """Record that the answer to a request began; repeated calls change nothing."""
        self.capacity.begin_answer(attempt_id, self.entry.slots, now)
        self._end_wait(attempt_id, tokens)

    def _end_wait(self, attempt_id: str, tokens: int) -> None:
        if self._unanswered.pop(attempt_id, None) is not None:
            self.pending_prompt_tokens -= tokens

    def end_attempt(
        self,
        attempt_id: str,
        tokens: int,
        result: AttemptResult,
        started_at: float,
        now: float,
    ) -> None:
        """Record the end of a request."""
        self.capacity.forget(attempt_id, now)
        self._end_wait(attempt_id, tokens)
        self.in_flight -= 1
        self._health.finish(result, started_at, now)

    def eject(self, now: float) -> None:
        """Avoid the endpoint for a while, as it can't be reached."""
        self._health.eject(now)

    def readmit(self, now: float) -> None:
        """Use the endpoint again: it was the path to it that failed."""
        self._health.readmit(now)

    def record_end(self, now: float) -> None:
        """Avoid the endpoint, as it has crashed; a later start is another endpoint."""
        self._ended_at = now
        self.eject(now)

    def is_ended(self, now: float) -> bool:
        """Return whether the endpoint crashed a short time ago."""
        return now - self._ended_at < ENDED_SECONDS and (
            self.last_data_at <= self._ended_at
        )

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record the load that an answer reported."""
        self._report = report
        self._reported_at = now
        self.capacity.record_report(report.work_time, now)
        self._is_report_malformed = False

    def record_malformed_load(self) -> bool:
        """Record a load that can't be read; return whether the last one could be."""
        was_malformed = self._is_report_malformed
        self._is_report_malformed = True
        return not was_malformed

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a request has waited too long and no data arrived."""
        if not self._unanswered:
            return False
        waiting_since = next(iter(self._unanswered.values()))
        return now - max(waiting_since, self.last_data_at) > UNRESPONSIVE_AFTER_SECONDS

    def condition(self, now: float) -> EndpointCondition:
        """Return whether the endpoint is used, or the first reason why not."""
        if self.entry.draining:
            return EndpointCondition.DRAINING
        if self.notices.leaving_since is not None:
            return EndpointCondition.LEAVING
        if self.notices.back_off_left(now):
            return EndpointCondition.BACKS_OFF
        if self.is_ended(now):
            return EndpointCondition.ENDED
        if self.is_unresponsive(now):
            return EndpointCondition.SILENT
        state = self._health.state(now)
        if state is not HealthState.HEALTHY:
            return EndpointCondition(state.value)
        return EndpointCondition.FULL if self.is_full(now) else EndpointCondition.USABLE

    def is_usable(self, now: float) -> bool:
        """Return whether the endpoint responds and is healthy or free to be probed."""
        if self.is_unresponsive(now) or self.is_ended(now):
            return False
        if self.notices.is_avoided(now):
            return False
        if self.notices.is_returning(now) and self.in_flight:
            return False
        return self._health.state(now) is HealthState.HEALTHY or self._health.may_probe(
            now
        )

    def is_probing(self, now: float) -> bool:
        """Return whether the next request tests if the endpoint has recovered."""
        return self._health.state(now) is HealthState.PROBING

    def load(self, now: float) -> float:
        """Return the requests that run or wait at the endpoint, as far as known."""
        if (
            self._report is None
            or now - self._reported_at > LOAD_REPORT_LIFETIME_SECONDS
        ):
            return float(self.in_flight)
        reported = self._report.running + self._report.waiting
        return float(max(reported, self.in_flight))

    def has_room(self, now: float) -> bool:
        """Return whether it takes another request well, as far as is known."""
        limit = self.capacity.limit.limit(now)
        if limit != float("inf") and self.load(now) >= limit:
            return False
        return not self.is_full(now)

    def is_full(self, now: float) -> bool:
        """Return whether the endpoint reported too many requests waiting for a slot."""
        if (
            self._report is None
            or now - self._reported_at > LOAD_REPORT_LIFETIME_SECONDS
        ):
            return False
        return self._report.waiting > max(2, self._report.slots // 2)
