"""Recognition of requests that crash the endpoints that run them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from knapweeddrum.core.admission.answer_memory import AnswerMemory
from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_histories import CrashHistories
from knapweeddrum.core.admission.crash_policy import MAX_CRASHES, CrashPolicy
from knapweeddrum.core.admission.crash_runs import CrashRun, CrashRuns
from knapweeddrum.core.admission.crash_suspect import is_part
from knapweeddrum.core.admission.part_judgement import is_part_to_blame
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason

MARK_ARRIVAL_SECONDS = 3.0
"""Time after a crash for the marks of all routers to arrive; until then a sole suspect
is only refused with a retry-after."""

SUSPECT_LIFETIME_SECONDS = 300.0
"""Time after the last mark or clearing for which a request with fewer crashes than
REPEATED_CRASHES stays suspect."""

REPEATED_CRASH_LIFETIME_SECONDS = 86_400.0
"""Time after the last mark or clearing for which crashes count against a request that
has REPEATED_CRASHES or more, blamed or not."""

REPEATED_CRASHES = 2

ANSWER_MEMORY_SECONDS = 300.0
"""Time for which a complete answer proves that its request is harmless."""

PART_ANSWER_MEMORY_SECONDS = 30.0
"""The same for a part of prompts; it is longer than endpoints take to come back."""

MAX_REMEMBERED_PARTS = 4096

MAX_REMEMBERED_ANSWERS = 1024
"""Requests whose complete answer is remembered; the oldest is forgotten."""

RUNNING_SUSPECT_RETRY_AFTER_SECONDS = 2.0
"""Retry-after for a suspect that is already running."""


class CrashRegister:
    """Counts the distinct endpoint crashes during which a request was running there.

    A request is identified by the fingerprint of its content, so that its copies share
    a record. When an endpoint crashes, each request that ran there gets a mark. A
    request with as many crashes as the policy says is suspect: it runs once at a time,
    and not at an endpoint where this process runs another suspect. A request is blamed,
    that is, refused without a retry-after, if it alone took part in all of its crashes
    and these are the policy's ``sole_suspect_crashes``. If several did, each stays
    suspect until it has taken part in MAX_CRASHES crashes. A complete answer clears the
    oldest crash of a request that is not blamed, or all crashes where the policy
    acquits, and marks expire.

    The parts of a request's prompt have records of their own: a request that is like no
    other may crash endpoints by a part that it shares. A part is refused once it is to
    blame (``part_judgement``); before that its requests are only not sent on.

    Times are Unix seconds, because processes share the marks.
    """

    def __init__(self, policy: CrashPolicy | None = None) -> None:
        self._policy = policy or CrashPolicy()
        self._histories = CrashHistories()
        self._runs = CrashRuns(self._policy.cut_memory_seconds)
        self._answered_requests = AnswerMemory(
            ANSWER_MEMORY_SECONDS, MAX_REMEMBERED_ANSWERS
        )
        self._answered_parts = AnswerMemory(
            PART_ANSWER_MEMORY_SECONDS, MAX_REMEMBERED_PARTS
        )
        self._told_blamed: set[str] = set()

    @property
    def version(self) -> int:
        """Return the local version, which increases with each change of a record."""
        return self._histories.version

    @property
    def on_change(self) -> Callable[[], None] | None:
        """Return what is called after each change of a record."""
        return self._histories.on_change

    @on_change.setter
    def on_change(self, callback: Callable[[], None] | None) -> None:
        self._histories.on_change = callback

    def decide(self, fingerprint: str, now: float) -> Placement | Refusal:
        """Return where a request may run, or its refusal.

        A refusal without ``retry_after`` is final.
        """
        crashes = self.crash_count(fingerprint, now)
        if crashes < self._policy.suspect_crashes:
            return Placement()
        if self.is_blamed(fingerprint, now):
            return self._refuse(fingerprint, now)
        if self._runs.is_running(fingerprint):
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
        crashes = len(history.crashes(self._policy.same_crash_seconds))
        repeated = crashes >= REPEATED_CRASHES
        lifetime = (
            REPEATED_CRASH_LIFETIME_SECONDS if repeated else SUSPECT_LIFETIME_SECONDS
        )
        return 0 if now - history.last_at >= lifetime else crashes

    def blamed_part(self, parts: Iterable[str], now: float) -> str | None:
        """Return the first of a request's parts that is to blame, None for none."""
        if not self._histories:
            return None
        return next((part for part in parts if self.is_blamed(part, now)), None)

    def most_crashes(self, suspects: Iterable[str], now: float) -> int:
        """Return the crashes that count against any of the suspects at most."""
        return max((self.crash_count(name, now) for name in suspects), default=0)

    def begin(
        self,
        run_id: str,
        fingerprint: str,
        endpoint: EndpointName,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Record a run that starts; ``parts`` are the suspects in its prompt."""
        self._runs.begin(run_id, CrashRun(fingerprint, endpoint, parts))

    def end(self, run_id: str, run_end: RunEnd, now: float) -> None:
        """Record the end of a run; a complete answer clears crashes."""
        run = self._runs.end(run_id, run_end, now)
        if run is None or run_end is not RunEnd.COMPLETED:
            return
        if self._policy.acquits:
            self._answered_requests.remember(run.fingerprint, now)
            self.clear(run.fingerprint)
            for part in run.parts:
                self._answered_parts.remember(part, now)
                self.clear(part)
        else:
            self._clear_oldest(run.fingerprint, now)

    def forget_cuts(self, endpoint: EndpointName) -> None:
        """Record that an endpoint that cut runs has not crashed."""
        self._runs.forget_cuts(endpoint)

    def knows(self, fingerprint: str) -> bool:
        """Return whether there is a record of a request, with crashes or cleared."""
        return fingerprint in self._histories

    def last_crash_at(self, fingerprint: str) -> float:
        """Return the Unix time of the last crash or clearing, 0 without a record."""
        history = self._histories.get(fingerprint)
        return history.last_at if history is not None else 0.0

    def newest_records(self) -> tuple[CrashRecord, ...]:
        """Return the records that changed last, for one message."""
        return self._histories.newest()

    def avoided_endpoints(self, now: float) -> frozenset[EndpointName]:
        """Return the endpoints at which this process runs suspects."""
        return self._suspect_endpoints(now) if self._histories else frozenset()

    def clear(self, fingerprint: str) -> bool:
        """Clear all crashes of a request; return whether it had any."""
        history = self._histories.get(fingerprint)
        if history is None or not history.marks:
            return False
        self._histories.store(fingerprint, history.without_marks())
        return True

    def fingerprints(self, now: float) -> list[str]:
        """Return, sorted, the requests against which a crash counts."""
        return sorted(
            name for name in self._histories if self.crash_count(name, now) > 0
        )

    def record_crash(self, endpoint: EndpointName, now: float) -> tuple[str, ...]:
        """Mark the requests that ran at a crashed endpoint; return what was marked.

        These are the requests still running there and those whose stream the endpoint
        cut a short time ago, and the parts of their prompts, but for those that are
        known to be harmless.
        """
        ranks: dict[str, int] = {}
        for run in self._runs.take_present(endpoint, now):
            ranks[run.fingerprint] = 0
            for rank, part in enumerate(run.parts, start=1):
                ranks[part] = max(rank, ranks.get(part, 0))
        marked = [
            suspect
            for suspect in sorted(ranks)
            if not self._is_known_harmless(suspect, now)
        ]
        for suspect in marked:
            marks = (CrashMark(endpoint, now),)
            self._histories.join(CrashRecord(suspect, marks, 0.0, ranks[suspect]))
        return tuple(marked)

    def changes(self, after: int = 0) -> CrashBatch:
        """Return the records that changed after a local version, for one message."""
        return self._histories.changes(after)

    def merge(self, records: Iterable[CrashRecord], now: float | None = None) -> None:
        """Join with the records of another process.

        With ``now``, crashes of requests that are known here to be harmless are
        cleared; the other processes learn that from the changed records.
        """
        for record in records:
            self._histories.join(record)
            if now is not None and self._is_known_harmless(record.fingerprint, now):
                self.clear(record.fingerprint)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop the records whose crashes no longer count; return their fingerprints."""
        expired = tuple(
            sorted(
                name
                for name, history in self._histories.by_suspect.items()
                if now - history.last_at >= SUSPECT_LIFETIME_SECONDS
                and self.crash_count(name, now) == 0
            )
        )
        for name in expired:
            self._histories.drop(name)
        return expired

    def is_blamed(self, fingerprint: str, now: float) -> bool:
        """Return whether a request or part is refused because of its crashes."""
        crashes = self.crash_count(fingerprint, now)
        if is_part(fingerprint):
            return crashes > 0 and is_part_to_blame(
                fingerprint, self._histories.by_suspect, self._policy.same_crash_seconds
            )
        if crashes >= MAX_CRASHES:
            return True
        is_enough = crashes >= self._policy.sole_suspect_crashes
        return is_enough and self._is_sole(fingerprint)

    def newly_blamed_parts(self, now: float) -> list[CrashRecord]:
        """Return the records of parts that are blamed since the last call."""
        blamed = {
            name
            for name in self._histories
            if is_part(name) and self.is_blamed(name, now)
        }
        new = sorted(blamed - self._told_blamed)
        self._told_blamed = blamed
        return [self._histories.record(name) for name in new]

    def _is_known_harmless(self, fingerprint: str, now: float) -> bool:
        if is_part(fingerprint):
            return self._answered_parts.knows(fingerprint, now)
        return self._answered_requests.knows(fingerprint, now)

    def _is_sole(self, fingerprint: str) -> bool:
        """Return whether no other request took part in all crashes of this one."""
        history = self._histories.by_suspect[fingerprint]
        return not any(
            other.covers(history)
            for name, other in self._histories.by_suspect.items()
            if name != fingerprint and not is_part(name)
        )

    def _refuse(self, fingerprint: str, now: float) -> Refusal:
        history = self._histories.by_suspect[fingerprint]
        crashes = self.crash_count(fingerprint, now)
        marks_arrived = now - history.last_at >= MARK_ARRIVAL_SECONDS
        if crashes < MAX_CRASHES and not marks_arrived:
            return Refusal(
                RefusalReason.POISONOUS,
                retry_after=MARK_ARRIVAL_SECONDS,
                detail="suspected of two crashes",
            )
        return Refusal(RefusalReason.POISONOUS, detail="crashed endpoints")

    def _clear_oldest(self, fingerprint: str, now: float) -> None:
        crashes = self.crash_count(fingerprint, now)
        if crashes > 0 and not self.is_blamed(fingerprint, now):
            history = self._histories.by_suspect[fingerprint]
            self._histories.store(fingerprint, history.without_oldest())

    def _suspect_endpoints(self, now: float) -> frozenset[EndpointName]:
        return frozenset(
            run.endpoint
            for run in self._runs.running()
            if self.crash_count(run.fingerprint, now) >= self._policy.suspect_crashes
        )
