"""Owner of the register of requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.process.router.collaborators import Collaborators
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.telemetry.events import ENDPOINT_CRASHED
from knapweeddrum.value.identifiers import EndpointName, RunId
from knapweeddrum.value.refusal import Refusal


class CrashWatch:
    """Recognises, by content, a request that crashes each engine that runs it.

    An engine counts as crashed when a stream was cut and the engine then can't be
    reached or doesn't know the run.
    """

    def __init__(self, parts: Collaborators) -> None:
        self._parts = parts
        self._register = CrashRegister()

    def place(self, fingerprint: str) -> Placement:
        """Return where a request may run; raises RefusedError."""
        decision = self._register.decide(fingerprint, self._parts.wall_clock())
        if isinstance(decision, Refusal):
            raise RefusedError(decision)
        return decision

    def begin(self, run_id: RunId, fingerprint: str, endpoint: EndpointName) -> None:
        """Take note of a run that starts."""
        self._register.begin(run_id, fingerprint, endpoint)

    def end(self, run_id: RunId, how: RunEnd) -> None:
        """Take note of a run that ended."""
        self._register.end(run_id, how, self._parts.wall_clock())

    def crashed(self, endpoint: EndpointName) -> None:
        """Mark the requests that ran at an engine that crashed."""
        marked = self._register.crashed(endpoint, self._parts.wall_clock())
        if marked:
            self._parts.events.emit(
                ENDPOINT_CRASHED, endpoint=endpoint, requests=len(marked)
            )

    def changes(self, after: int) -> CrashBatch:
        """Return what changed after a version of this register."""
        return self._register.changes(after)

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Join with what other routers know."""
        self._register.merge(records)
