"""Detection of requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.telemetry.events import ENDPOINT_CRASHED
from knapweeddrum.value.identifiers import EndpointName, RunId
from knapweeddrum.value.refusal import Refusal


class CrashWatch:
    """Recognises, by its content, a request that crashes the engines that run it.

    An engine counts as crashed if a stream was cut and the engine then cannot be
    reached or does not know the run.
    """

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._register = CrashRegister()

    def find_placement(self, fingerprint: str) -> Placement:
        """Return which engines a request must avoid; raises RefusedError."""
        decision = self._register.decide(fingerprint, self._context.wall_clock())
        if isinstance(decision, Refusal):
            raise RefusedError(decision)
        return decision

    def begin(self, run_id: RunId, fingerprint: str, endpoint: EndpointName) -> None:
        """Record the start of a run."""
        self._register.begin(run_id, fingerprint, endpoint)

    def end(self, run_id: RunId, ending: RunEnd) -> None:
        """Record the end of a run."""
        self._register.end(run_id, ending, self._context.wall_clock())

    def record_crash(self, endpoint: EndpointName) -> None:
        """Record a crash, which makes the requests that ran at the engine suspects."""
        suspects = self._register.record_crash(endpoint, self._context.wall_clock())
        if suspects:
            self._context.events.emit(
                ENDPOINT_CRASHED, endpoint=endpoint, requests=len(suspects)
            )

    def changes(self, after: int) -> CrashBatch:
        """Return the records that changed after a version of the register."""
        return self._register.changes(after)

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Merge the records of other routers."""
        self._register.merge(records)
