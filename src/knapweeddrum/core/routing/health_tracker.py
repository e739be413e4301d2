"""Ejection and readmission of one endpoint."""

from __future__ import annotations

from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.health_limits import HealthLimits
from knapweeddrum.core.routing.health_state import HealthState

BACKOFF_RESET_SECONDS = 60.0
"""Healthy time after which the ejection backoff starts from its base again."""


class HealthTracker:
    """Circuit breaker with exponential backoff and half-open probes.

    After an ejection one request at a time is let through as a probe. Several probes
    must succeed in a row, and the backoff is kept until the endpoint was healthy for
    BACKOFF_RESET_SECONDS; both prevent flapping. Times are monotonic seconds.
    """

    def __init__(self, limits: HealthLimits | None = None) -> None:
        self._limits = limits or HealthLimits()
        self.ejected_until = float("-inf")
        self._healthy = True
        self._ejected_at = float("-inf")
        self._readmitted_at = float("-inf")
        self._ejections = 0
        self._consecutive_failures = 0
        self._error_rate = 0.0
        self._result_count = 0
        self._probes_in_flight = 0
        self._probe_successes = 0

    def state(self, now: float) -> HealthState:
        """Return the state at ``now``."""
        if self._healthy:
            return HealthState.HEALTHY
        if now < self.ejected_until:
            return HealthState.EJECTED
        return HealthState.PROBING

    def may_probe(self, now: float) -> bool:
        """Return whether a request may be sent as a probe."""
        probing = self.state(now) is HealthState.PROBING
        return probing and self._probes_in_flight == 0

    def begin(self, now: float) -> None:
        """Record the start of an attempt."""
        if self.state(now) is HealthState.PROBING:
            self._probes_in_flight += 1

    def finish(self, result: AttemptResult, started_at: float, now: float) -> None:
        """Record the result of an attempt that started at ``started_at``."""
        if self._healthy:
            self._finish_healthy(result, started_at, now)
            return
        if started_at >= self.ejected_until:
            self._probes_in_flight = max(0, self._probes_in_flight - 1)
        self._finish_unhealthy(result, started_at, now)

    def eject(self, now: float) -> None:
        """Eject the endpoint at once, unless it is ejected already."""
        if self.state(now) is not HealthState.EJECTED:
            self._eject(now)

    def readmit(self, now: float) -> None:
        """End an ejection for which the endpoint was not the cause."""
        if not self._healthy:
            self._ejections = 0
            self._readmit(now)

    def _finish_healthy(
        self, result: AttemptResult, started_at: float, now: float
    ) -> None:
        if started_at < self._readmitted_at:
            return
        if result is AttemptResult.SUCCESS:
            self._consecutive_failures = 0
            self._update_error_rate(0.0)
        elif result is AttemptResult.FAILURE:
            self._consecutive_failures += 1
            self._update_error_rate(1.0)
        if self._is_failing():
            self._eject(now)

    def _finish_unhealthy(
        self, result: AttemptResult, started_at: float, now: float
    ) -> None:
        if result is AttemptResult.SUCCESS and started_at >= self._ejected_at:
            self._probe_successes += 1
            if self._probe_successes >= self._limits.probe_successes:
                self._readmit(now)
        elif result is AttemptResult.FAILURE and started_at >= self.ejected_until:
            self._eject(now)

    def _update_error_rate(self, error: float) -> None:
        self._result_count += 1
        self._error_rate += self._limits.error_rate_weight * (error - self._error_rate)

    def _is_failing(self) -> bool:
        limits = self._limits
        if self._consecutive_failures >= limits.consecutive_failures:
            return True
        enough = self._result_count >= limits.error_rate_samples
        return enough and self._error_rate >= limits.error_rate

    def _eject(self, now: float) -> None:
        if self._healthy and now - self._readmitted_at >= BACKOFF_RESET_SECONDS:
            self._ejections = 0
        backoff = self._limits.base_ejection_seconds * 2.0 ** min(self._ejections, 16)
        self._ejections += 1
        self._healthy = False
        self._ejected_at = now
        self.ejected_until = now + min(backoff, self._limits.max_ejection_seconds)
        self._probes_in_flight = 0
        self._probe_successes = 0

    def _readmit(self, now: float) -> None:
        self._healthy = True
        self._readmitted_at = now
        self.ejected_until = float("-inf")
        self._consecutive_failures = 0
        self._error_rate = 0.0
        self._result_count = 0
