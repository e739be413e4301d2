"""Runs at endpoints that may crash."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.value.identifiers import EndpointName


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRun:
    """A run of a request at an endpoint."""

    fingerprint: str
    endpoint: EndpointName
    parts: tuple[str, ...] = ()
    """Suspects in the request's prompt, first to last but one."""


class CrashRuns:
    """Knows which requests run at an endpoint or were cut there a short time ago.

    A run that was cut is remembered for ``cut_memory`` seconds, because a crash may be
    found out after the end of its streams.
    """

    def __init__(self, cut_memory: float) -> None:
        self._cut_memory = cut_memory
        self._running: dict[str, CrashRun] = {}
        self._recently_cut: dict[str, tuple[CrashRun, float]] = {}

    def begin(self, run_id: str, run: CrashRun) -> None:
        """Record a run that starts."""
        self._running[run_id] = run

    def end(self, run_id: str, run_end: RunEnd, now: float) -> CrashRun | None:
        """Record the end of a run and return it, None if it is not known."""
        run = self._running.pop(run_id, None)
        if run is not None and run_end is RunEnd.CUT:
            self._recently_cut[run_id] = (run, now)
        self._drop_old_cuts(now)
        return run

    def take_present(self, endpoint: EndpointName, now: float) -> list[CrashRun]:
        """Return the runs at a crashed endpoint, and those cut there lately.

        What was cut is returned once.
        """
        self._drop_old_cuts(now)
        runs = [*self._running.values(), *self._cut_runs()]
        self.forget_cuts(endpoint)
        return [run for run in runs if run.endpoint == endpoint]

    def forget_cuts(self, endpoint: EndpointName) -> None:
        """Forget the runs that an endpoint cut, as it goes on serving."""
        self._recently_cut = {
            run_id: cut
            for run_id, cut in self._recently_cut.items()
            if cut[0].endpoint != endpoint
        }

    def is_running(self, fingerprint: str) -> bool:
        """Return whether a copy of a request is running."""
        return any(run.fingerprint == fingerprint for run in self._running.values())

    def running(self) -> Iterable[CrashRun]:
        """Return the runs in progress."""
        return self._running.values()

    def _cut_runs(self) -> list[CrashRun]:
        return [run for run, _ in self._recently_cut.values()]

    def _drop_old_cuts(self, now: float) -> None:
        self._recently_cut = {
            run_id: (run, cut_at)
            for run_id, (run, cut_at) in self._recently_cut.items()
            if now - cut_at <= self._cut_memory
        }
