"""Check whether the router accepts new requests."""

from __future__ import annotations

from knapweeddrum.core.membership.drain_plan import DrainPlan
from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.health_body import HealthBody
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.run_directory import RunDirectory
from knapweeddrum.process.router.service_run_directory import ServiceRunDirectory
from knapweeddrum.process.router.usage_collector import UsageCollector
from knapweeddrum.value.refusal_reason import RefusalReason

NOT_READY_RETRY_AFTER_SECONDS = 2.0
DRAINING_RETRY_AFTER_SECONDS = 1.0
OVERLOADED_RETRY_AFTER_SECONDS = 2.0


class RouterGate:
    """Counts open HTTP requests and refuses new ones that cannot be accepted.

    ``open_requests`` is the number of HTTP requests that are being served.
    """

    def __init__(
        self,
        context: RouterContext,
        table: ResourceTable,
        plan: DrainPlan,
        models: RunDirectory,
        services: ServiceRunDirectory,
        collector: UsageCollector,
    ) -> None:
        self.open_requests = 0
        self._limit = context.settings.router.in_progress_limit
        self._table = table
        self._plan = plan
        self._models = models
        self._services = services
        self._collector = collector

    @property
    def in_progress(self) -> int:
        """Return the number of requests that a drain waits for."""
        running = self._models.runs_in_progress + self._services.runs_in_progress
        return max(self.open_requests, running)

    def check(self) -> None:
        """Raise RefusedError if no new request is accepted."""
        if not self._plan.accepts_work:
            raise refused(RefusalReason.DRAINING, "", DRAINING_RETRY_AFTER_SECONDS)
        if self._table.offset < 0:
            raise refused(
                RefusalReason.NOT_READY,
                "no configuration has been received yet",
                NOT_READY_RETRY_AFTER_SECONDS,
            )
        if self.open_requests > self._limit or self._collector.is_full:
            raise refused(RefusalReason.OVERLOADED, "", OVERLOADED_RETRY_AFTER_SECONDS)

    def health(self) -> HealthBody:
        """Return the reply of the health check."""
        state = self._plan.state.value
        if state == "serving" and self._table.offset < 0:
            state = "waiting"
        return HealthBody(
            state=state,
            config_offset=self._table.offset,
            in_progress=self.in_progress,
        )
