"""Which endpoints this host can connect to, and which only other hosts can."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.probe_result import ProbeResult

ASK_INTERVAL_SECONDS = 1.0
"""Interval of the questions to other hosts about an endpoint that is out of reach."""

RESTORING_CONNECTIONS = 2
"""Accepted connections in a row that show a lost path to be back for good."""

CONNECT_SECONDS = 0.25
"""Longest time that a connection takes to fail."""

CUT_OFF_ENDPOINTS = 2
"""Endpoints with a lost path, and none reached, by which all paths count as lost."""


@dataclasses.dataclass(slots=True)
class _Failure:
    """Connections to one endpoint that failed since the last that did not."""

    since: float
    result: ProbeResult
    last_at: float = 0.0
    count: int = 0
    asked_at: float = float("-inf")
    answer: ProbeResult | None = None
    """What other hosts said of the endpoint last, None if none could be asked."""
    lost_at: float | None = None
    """When another host was found to reach the endpoint, None if none was."""
    accepted_in_row: int = 0


class EndpointReach:
    """Tells an endpoint that is gone from a path from this host that is lost.

    A path is lost if connections to its endpoint fail here while another host reaches
    it. When several were lost since an endpoint was reached last, this host is cut off:
    the other paths count as lost too. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._failures: dict[EndpointName, _Failure] = {}
        self._connected_at = float("-inf")

    def record(self, name: EndpointName, result: ProbeResult, now: float) -> bool:
        """Record a connection; return whether the endpoint came in or out of reach."""
        if result is ProbeResult.CONNECTED:
            return self._record_connected(name, now)
        failure = self._failures.get(name)
        if failure is None:
            self._failures[name] = failure = _Failure(now, result)
        failure.result = result
        failure.last_at = now
        failure.count += 1
        failure.accepted_in_row = 0
        return failure.count == 1

    def _record_connected(self, name: EndpointName, now: float) -> bool:
        failure = self._failures.get(name)
        if failure is not None and failure.lost_at is not None:
            failure.accepted_in_row += 1
            if failure.accepted_in_row < RESTORING_CONNECTIONS:
                return False
        self._connected_at = now
        return self._failures.pop(name, None) is not None

    def to_ask(self, now: float) -> list[EndpointName]:
        """Return the endpoints about which to ask other hosts now, and note that."""
        names = [
            name
            for name, failure in self._failures.items()
            if failure.lost_at is None
            and failure.last_at > failure.asked_at
            and now - failure.asked_at >= ASK_INTERVAL_SECONDS
        ]
        for name in names:
            self._failures[name].asked_at = now
        return names

    def is_asked(self, name: EndpointName, now: float) -> bool:
        """Return whether other hosts were asked about an endpoint a moment ago."""
        failure = self._failures.get(name)
        return failure is not None and now - failure.asked_at < ASK_INTERVAL_SECONDS

    def record_answer(
        self, name: EndpointName, answer: ProbeResult | None, now: float
    ) -> None:
        """Record what other hosts said of an endpoint, None if none could be asked."""
        failure = self._failures.get(name)
        if failure is not None:
            failure.answer = answer
            failure.asked_at = now

    def answer(self, name: EndpointName) -> ProbeResult | None:
        """Return what other hosts said last, None for nothing."""
        failure = self._failures.get(name)
        return None if failure is None else failure.answer

    def record_elsewhere(self, name: EndpointName, now: float) -> bool:
        """Record that another host reaches an endpoint; return if the path was lost."""
        failure = self._failures.get(name)
        if failure is None or failure.lost_at is not None:
            return False
        failure.lost_at = now
        failure.accepted_in_row = 0
        return True

    def keep(self, names: Collection[EndpointName]) -> None:
        """Forget the endpoints that are not listed any more."""
        self._failures = {n: f for n, f in self._failures.items() if n in names}

    def lost_paths(self) -> list[EndpointName]:
        """Return the endpoints that other hosts reach and this one does not."""
        return [name for name, f in self._failures.items() if f.lost_at is not None]

    def is_path_lost(self, name: EndpointName) -> bool:
        """Return whether to connect through another host."""
        failure = self._failures.get(name)
        return (failure is not None and failure.lost_at is not None) or self.is_cut_off

    def is_silent(self, name: EndpointName) -> bool:
        """Return whether connections on a lost path are not even refused.

        What is sent on open ones gets nowhere either, then. A connection that was tried
        after another host had reached the endpoint has to show it: the endpoint itself
        may have been silent for a moment.
        """
        failure = self._failures.get(name)
        if failure is None or failure.lost_at is None:
            return False
        is_tried_since = failure.last_at - failure.lost_at >= CONNECT_SECONDS
        return is_tried_since and failure.result is ProbeResult.UNANSWERED

    @property
    def is_cut_off(self) -> bool:
        """Return whether this host has lost the paths to all endpoints."""
        lost_since = sum(
            failure.lost_at is not None and failure.since > self._connected_at
            for failure in self._failures.values()
        )
        return lost_since >= CUT_OFF_ENDPOINTS

    def unreached(self) -> list[EndpointName]:
        """Return the endpoints whose last connection failed."""
        return list(self._failures)

    def unreached_for(self, name: EndpointName, now: float) -> float | None:
        """Return the seconds since connections fail, None if the last did not."""
        failure = self._failures.get(name)
        return None if failure is None else now - failure.since

    def recent_failure(
        self, name: EndpointName, seconds: float, now: float
    ) -> ProbeResult | None:
        """Return how the last connection failed if that was in the last seconds."""
        failure = self._failures.get(name)
        if failure is None or now - failure.last_at > seconds:
            return None
        return failure.result
