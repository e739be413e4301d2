"""The plain-service requests in progress at this router."""

from __future__ import annotations

import anyio.abc

from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.service_job import ServiceJob
from knapweeddrum.process.router.service_run import ServiceRun
from knapweeddrum.telemetry.events import TASK_FAILED


class ServiceRunDirectory:
    """Starts a task for each request and counts the running ones."""

    def __init__(self, services: RunServices, tasks: anyio.abc.TaskGroup) -> None:
        self._services = services
        self._tasks = tasks
        self.runs_in_progress = 0

    def start(self, job: ServiceJob) -> ServiceRun:
        """Start and return the run of a request."""
        run = ServiceRun(job, self._services)
        self.runs_in_progress += 1
        self._tasks.start_soon(self._execute, run)
        return run

    async def _execute(self, run: ServiceRun) -> None:
        """Execute one run; an unexpected error is logged and ends only this run."""
        try:
            await run.execute()
        except Exception as exc:  # noqa: BLE001
            self._services.context.events.emit(
                TASK_FAILED, task="service run", error=repr(exc)
            )
        finally:
            self.runs_in_progress -= 1
