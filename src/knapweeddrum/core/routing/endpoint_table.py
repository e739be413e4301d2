"""The endpoints that a router knows."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.exceptions import UnknownEndpointError
from knapweeddrum.core.routing.health_state import HealthState
from knapweeddrum.core.routing.leaving_source import LeavingSource
from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.value.identifiers import DataCentre, EndpointName

PANIC_THRESHOLD = 0.5
"""Fraction of healthy endpoints below which ejections are ignored."""

_WITHDRAWN_BY_REPORT = (LeavingSource.LOAD_REPORT, LeavingSource.CONNECTION_CLOSE)
"""Sources whose notice is withdrawn by a later report that isn't ``leaving``."""


class EndpointTable:
    """Views of the configured endpoints, for a router's choice among them.

    Times are monotonic seconds. ``view`` and ``begin`` raise UnknownEndpointError for
    an endpoint that isn't configured. Load reports, results and notices of such an
    endpoint are ignored, as they may arrive after its removal.
    """

    def __init__(self) -> None:
        self._views: dict[EndpointName, EndpointView] = {}

    def configure(
        self,
        name: EndpointName,
        slots: int,
        now: float,
        data_centre: DataCentre | None = None,
        leaving: bool = False,
    ) -> None:
        """Add or reconfigure an endpoint; ``leaving`` is the operator's notice."""
        view = self._views.setdefault(name, EndpointView(name, slots, data_centre))
        view.slots = slots
        view.data_centre = data_centre
        if leaving:
            self.add_leaving_notice(name, LeavingSource.OPERATOR, now)
        else:
            self.withdraw_leaving_notice(name, LeavingSource.OPERATOR)

    def remove(self, name: EndpointName) -> None:
        """Remove an endpoint; results that arrive later are ignored."""
        self._views.pop(name, None)

    def view(self, name: EndpointName) -> EndpointView:
        """Return the view of an endpoint."""
        view = self._views.get(name)
        if view is None:
            raise UnknownEndpointError(f"endpoint {name} is not configured")
        return view

    def names(self) -> tuple[EndpointName, ...]:
        """Return the names of all endpoints, in order of configuration."""
        return tuple(self._views)

    def record_load(self, name: EndpointName, sample: LoadSample) -> None:
        """Record a load report; ``leaving`` in it counts as a notice."""
        view = self._views.get(name)
        if view is None:
            return
        view.store_report(sample)
        if sample.leaving:
            self.add_leaving_notice(name, LeavingSource.LOAD_REPORT, sample.measured_at)
            return
        for source in _WITHDRAWN_BY_REPORT:
            if view.leaving_notices.get(source, sample.measured_at) < (
                sample.measured_at
            ):
                del view.leaving_notices[source]

    def add_leaving_notice(
        self, name: EndpointName, source: LeavingSource, now: float
    ) -> None:
        """Record that an endpoint is leaving; it gets no new requests."""
        view = self._views.get(name)
        if view is not None:
            view.leaving_notices[source] = now

    def withdraw_leaving_notice(
        self, name: EndpointName, source: LeavingSource
    ) -> None:
        """Withdraw the notice of one source."""
        view = self._views.get(name)
        if view is not None:
            view.leaving_notices.pop(source, None)

    def begin(self, name: EndpointName, now: float) -> None:
        """Count an attempt that is sent to an endpoint."""
        self.view(name).begin(now)

    def finish(
        self, name: EndpointName, result: AttemptResult, started_at: float, now: float
    ) -> None:
        """Count the end of an attempt that was sent at ``started_at``."""
        view = self._views.get(name)
        if view is None:
            return
        view.end(now)
        view.health.finish(result, started_at, now)

    def candidates(
        self, names: Iterable[EndpointName], now: float, idempotent: bool = True
    ) -> tuple[EndpointView, ...]:
        """Return the views among ``names`` that may get a request.

        Endpoints that are leaving never get one. If the healthy fraction of the others
        is below PANIC_THRESHOLD, all others are returned, so that wrong ejections can't
        remove the last endpoints. For a request that is not ``idempotent``, only the
        healthy endpoints are returned or, if there are none, those that may be probed:
        such a request is better refused than lost at a failing endpoint.
        """
        present = [self._views[name] for name in names if name in self._views]
        staying = [view for view in present if not view.leaving]
        healthy = [view for view in staying if _is_healthy(view, now)]
        probes = [view for view in staying if view.health.may_probe(now)]
        if not idempotent:
            return tuple(healthy or probes)
        if len(healthy) < PANIC_THRESHOLD * len(staying):
            return tuple(staying)
        return tuple(healthy + probes)


def _is_healthy(view: EndpointView, now: float) -> bool:
    return view.health.state(now) is HealthState.HEALTHY
