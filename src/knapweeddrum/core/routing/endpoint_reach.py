"""Which endpoints this host can connect to."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.probe_result import ProbeResult


@dataclasses.dataclass(slots=True)
class _Failure:
    """Connections to one endpoint that failed since the last that did not."""

    since: float
    result: ProbeResult
    count: int = 0


class EndpointReach:
    """Records what became of the connections that this host opened to endpoints.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._failures: dict[EndpointName, _Failure] = {}

    def record(self, name: EndpointName, result: ProbeResult, now: float) -> bool:
        """Record a connection; return whether the endpoint came in or out of reach."""
        failure = self._failures.get(name)
        if result is ProbeResult.CONNECTED:
            self._failures.pop(name, None)
            return failure is not None
        if failure is None:
            self._failures[name] = failure = _Failure(now, result)
        failure.result = result
        failure.count += 1
        return failure.count == 1

    def keep(self, names: Collection[EndpointName]) -> None:
        """Forget the endpoints that are not listed any more."""
        self._failures = {n: f for n, f in self._failures.items() if n in names}

    def unreached(self) -> list[EndpointName]:
        """Return the endpoints whose last connection failed."""
        return list(self._failures)

    def unreached_for(self, name: EndpointName, now: float) -> float | None:
        """Return the seconds since connections fail, None if the last did not."""
        failure = self._failures.get(name)
        return None if failure is None else now - failure.since
