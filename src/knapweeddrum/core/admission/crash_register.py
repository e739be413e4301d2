"""Recognition of requests that crash the endpoints that run them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_history import (
    SAME_CRASH_SECONDS,
    CrashHistory,
)
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason

MAX_CRASHES = 3
"""Distinct crashes after which a request is blamed, whatever else was running."""

SOLE_SUSPECT_CRASHES = 2
"""Distinct crashes after which a request is blamed if no other took part in all."""

MARK_ARRIVAL_SECONDS = 3.0
"""Time after a crash for the marks of all routers to arrive; until then a sole suspect
is only refused with a retry-after."""

SUSPECT_LIFETIME_SECONDS = 300.0
"""Time after the last mark or clearing for which a request with fewer crashes than
SOLE_SUSPECT_CRASHES stays suspect."""

REPEATED_CRASH_LIFETIME_SECONDS = 86_400.0
"""Time after the last mark or clearing for which crashes count against a request that
has SOLE_SUSPECT_CRASHES or more, blamed or not."""

MAX_FINGERPRINTS = 1024
"""Requests with a record; the one whose last mark or clearing is oldest is dropped."""

RECORDS_PER_MESSAGE = 32
"""Most records in one message between processes."""

RUNNING_SUSPECT_RETRY_AFTER_SECONDS = 2.0
"""Retry-after for a suspect that is already running."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    fingerprint: str
    endpoint: EndpointName


class CrashRegister:
    """Counts the distinct endpoint crashes during which a request was running there.

    A request is identified by the fingerprint of its content, so that its copies share
    a record. When an endpoint crashes, each request that ran there gets a mark. A
    request with a mark is suspect: it runs once at a time, and not at an endpoint where
    this router runs another suspect. After SOLE_SUSPECT_CRASHES crashes a request is
    blamed, that is, refused without a retry-after, if it alone took part in all of
    them. If several did, each stays suspect until it has taken part in MAX_CRASHES
    crashes. A complete answer clears the oldest crash of a request that is not blamed,
    and marks expire.

    Times are Unix seconds, because routers share the marks.
    """

    def __init__(self) -> None:
        self._histories: dict[str, CrashHistory] = {}
        self._running: dict[str, _Run] = {}
        self._recently_cut: dict[str, tuple[_Run, float]] = {}
        self._versions: dict[str, int] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return the local version, which increases with each change of a record."""
        return self._version

    def decide(self, fingerprint: str, now: float) -> Placement | Refusal:
        """Return where a request may run, or its refusal.

        A refusal without ``retry_after`` is final.
        """
        crashes = self.crash_count(fingerprint, now)
        if crashes == 0:
            return Placement()
        if self._is_blamed(fingerprint, now):
            return self._refuse(fingerprint, now)
        if any(run.fingerprint == fingerprint for run in self._running.values()):
            return Refusal(
                RefusalReason.POISONOUS,
                retry_after=RUNNING_SUSPECT_RETRY_AFTER_SECONDS,
                detail="suspected of a crash and already running",
            )
        return Placement(suspect=True, exclude=self._suspect_endpoints(now))

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of distinct crashes that still count against a request."""
        history = self._histories.get(fingerprint)
        if history is None:
            return 0
        crashes = len(history.crashes())
        repeated = crashes >= SOLE_SUSPECT_CRASHES
        lifetime = (
            REPEATED_CRASH_LIFETIME_SECONDS if repeated else SUSPECT_LIFETIME_SECONDS
        )
        return 0 if now - history.last_at >= lifetime else crashes

    def begin(self, run_id: str, fingerprint: str, endpoint: EndpointName) -> None:
        """Record a run that starts."""
        self._running[run_id] = _Run(fingerprint, endpoint)

    def end(self, run_id: str, run_end: RunEnd, now: float) -> None:
        """Record the end of a run; a complete answer clears the oldest crash."""
        run = self._running.pop(run_id, None)
        if run is None:
            return
        if run_end is RunEnd.CUT:
            self._recently_cut[run_id] = (run, now)
        elif run_end is RunEnd.COMPLETED:
            self._clear_oldest(run.fingerprint, now)
        self._drop_old_cuts(now)

    def record_crash(self, endpoint: EndpointName, now: float) -> tuple[str, ...]:
        """Mark the requests that ran at a crashed endpoint; return their fingerprints.

        These are the requests still running there and those whose stream the endpoint
        cut within the last SAME_CRASH_SECONDS.
        """
        self._drop_old_cuts(now)
        runs = [
            *self._running.values(),
            *(run for run, _ in self._recently_cut.values()),
        ]
        marked = sorted({run.fingerprint for run in runs if run.endpoint == endpoint})
        self._recently_cut = {
            run_id: cut
            for run_id, cut in self._recently_cut.items()
            if cut[0].endpoint != endpoint
        }
        for fingerprint in marked:
            self._join(fingerprint, (CrashMark(endpoint, now),), 0.0)
        return tuple(marked)

    def changes(self, after: int = 0) -> CrashBatch:
        """Return the records that changed after version ``after``, for one message.

        The version is local to this register. Records beyond RECORDS_PER_MESSAGE are
        left for the next call.
        """
        changed = sorted(
            (version, fingerprint)
            for fingerprint, version in self._versions.items()
            if version > after
        )[:RECORDS_PER_MESSAGE]
        records = tuple(self._record(fingerprint) for _, fingerprint in changed)
        return CrashBatch(records, changed[-1][0] if changed else after)

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Join with the records of another router or a keeper."""
        for record in records:
            self._join(record.fingerprint, record.marks, record.cleared_at)

    def _is_blamed(self, fingerprint: str, now: float) -> bool:
        crashes = self.crash_count(fingerprint, now)
        if crashes >= MAX_CRASHES:
            return True
        return crashes >= SOLE_SUSPECT_CRASHES and self._is_sole(fingerprint)

    def _is_sole(self, fingerprint: str) -> bool:
        """Return whether no other request took part in all crashes of this one."""
        history = self._histories[fingerprint]
        return not any(
            other.covers(history)
            for name, other in self._histories.items()
            if name != fingerprint
        )

    def _refuse(self, fingerprint: str, now: float) -> Refusal:
        history = self._histories[fingerprint]
        crashes = len(history.crashes())
        marks_arrived = now - history.last_at >= MARK_ARRIVAL_SECONDS
        if crashes < MAX_CRASHES and not marks_arrived:
            return Refusal(
                RefusalReason.POISONOUS,
                retry_after=MARK_ARRIVAL_SECONDS,
                detail="suspected of two crashes",
            )
        return Refusal(RefusalReason.POISONOUS, detail="crashed endpoints")

    def _record(self, fingerprint: str) -> CrashRecord:
        history = self._histories[fingerprint]
        return CrashRecord(fingerprint, history.marks, history.cleared_at)

    def _join(
        self, fingerprint: str, marks: Iterable[CrashMark], cleared_at: float
    ) -> None:
        history = self._histories.get(fingerprint, CrashHistory())
        self._store(fingerprint, history.joined(marks, cleared_at))

    def _store(self, fingerprint: str, history: CrashHistory) -> None:
        if self._histories.get(fingerprint) == history:
            return
        self._histories[fingerprint] = history
        self._version += 1
        self._versions[fingerprint] = self._version
        if len(self._histories) > MAX_FINGERPRINTS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = min(
            self._histories, key=lambda name: (self._histories[name].last_at, name)
        )
        del self._histories[oldest]
        del self._versions[oldest]

    def _clear_oldest(self, fingerprint: str, now: float) -> None:
        crashes = self.crash_count(fingerprint, now)
        if crashes > 0 and not self._is_blamed(fingerprint, now):
            history = self._histories[fingerprint]
            self._store(fingerprint, history.without_oldest())

    def _suspect_endpoints(self, now: float) -> frozenset[EndpointName]:
        return frozenset(
            run.endpoint
            for run in self._running.values()
            if self.crash_count(run.fingerprint, now) > 0
        )

    def _drop_old_cuts(self, now: float) -> None:
        self._recently_cut = {
            run_id: (run, cut_at)
            for run_id, (run, cut_at) in self._recently_cut.items()
            if now - cut_at <= SAME_CRASH_SECONDS
        }
