"""The runs of this router, by request key."""

from __future__ import annotations

from collections import OrderedDict

import anyio.abc

from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.model_job import ModelJob
from knapweeddrum.process.router.model_run import ModelRun
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.telemetry.events import TASK_FAILED
from knapweeddrum.value.identifiers import RequestKey, RunId
from knapweeddrum.value.refusal_reason import RefusalReason

RECENT_ANSWERS_LIMIT = 128
"""Complete answers that are kept for requests sent again."""

RECENT_ANSWERS_BYTES_LIMIT = 2 * 1024 * 1024


class RunDirectory:
    """Starts one run for each request key; the same request sent again shares it."""

    def __init__(self, services: RunServices, tasks: anyio.abc.TaskGroup) -> None:
        self._services = services
        self._tasks = tasks
        self._active: dict[RequestKey, ModelRun] = {}
        self._recent_answers: OrderedDict[RequestKey, ModelRun] = OrderedDict()
        self._recent_bytes = 0
        self.runs_in_progress = 0

    def get_or_start(self, job: ModelJob) -> ModelRun:
        """Return the run of a request: in progress, recently finished or new.

        Raises RefusedError when the key was used for another request.
        """
        known = self._active.get(job.request_key) or self._recent_answers.get(
            job.request_key
        )
        if known is None or known.is_abandoned:
            return self._start(job)
        if known.job.fingerprint != job.fingerprint:
            raise refused(
                RefusalReason.KEY_REUSED,
                "the request identifier belongs to another request",
            )
        return known

    def stop_all(self) -> None:
        """Cancel all runs at their engines."""
        for run in self._active.values():
            run.stop()

    def _start(self, job: ModelJob) -> ModelRun:
        run = ModelRun(job, self._services)
        self._active[job.request_key] = run
        self.runs_in_progress += 1
        self._tasks.start_soon(self._execute, run)
        return run

    async def _execute(self, run: ModelRun) -> None:
        """Execute one run; an unexpected error is logged and ends only this run."""
        try:
            await run.execute()
        except Exception as exc:  # noqa: BLE001
            self._services.context.events.emit(
                TASK_FAILED, task="model run", error=repr(exc)
            )
            run.fail()
        finally:
            self.runs_in_progress -= 1
            self._forget_or_keep(run)

    def _forget_or_keep(self, run: ModelRun) -> None:
        """Keep a complete answer for repeats; forget any other run."""
        key = run.job.request_key
        if self._active.get(key) is run:
            del self._active[key]
        ending = run.feed.ending
        if run.is_abandoned:
            # Another router may have resumed the run; the usage collector checks that.
            return
        if ending is None or ending.refusal is not None:
            self._services.locator.forget(key, RunId(""))
            return
        self._recent_answers[key] = run
        self._recent_bytes += _size(run)
        while self._is_overfull():
            evicted_key, evicted = self._recent_answers.popitem(last=False)
            self._recent_bytes -= _size(evicted)
            self._services.locator.forget(evicted_key, RunId(""))

    def _is_overfull(self) -> bool:
        if len(self._recent_answers) > RECENT_ANSWERS_LIMIT:
            return True
        return (
            bool(self._recent_answers)
            and self._recent_bytes > RECENT_ANSWERS_BYTES_LIMIT
        )


def _size(run: ModelRun) -> int:
    """Return the size of an answer, as request bytes plus characters of its text."""
    return len(run.job.body) + sum(len(part.text) for part in run.feed.parts)
