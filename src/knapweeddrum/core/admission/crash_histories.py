"""Crash histories of all suspects, as processes exchange them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from knapweeddrum.core.admission.crash_batch import CrashBatch
from knapweeddrum.core.admission.crash_history import CrashHistory
from knapweeddrum.message.call.crash_record import CrashRecord

MAX_SUSPECTS = 1024
"""Suspects with a record; the one with the fewest and then the oldest marks is dropped,
so that many suspects beside one crash don't displace the cause of several."""

RECORDS_PER_MESSAGE = 64
"""Most records in one message between processes."""


class CrashHistories:
    """Keeps a history for each suspect, and which ones changed since a version."""

    def __init__(self) -> None:
        self.on_change: Callable[[], None] | None = None
        """Called after each change of a record."""
        self.version = 0
        """Local version, which increases with each change of a record."""
        self._histories: dict[str, CrashHistory] = {}
        self._versions: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._histories)

    def __contains__(self, suspect: str) -> bool:
        return suspect in self._histories

    def __iter__(self) -> Iterator[str]:
        return iter(self._histories)

    @property
    def by_suspect(self) -> Mapping[str, CrashHistory]:
        """Return all histories."""
        return self._histories

    def get(self, suspect: str) -> CrashHistory | None:
        """Return the history of a suspect, None for none."""
        return self._histories.get(suspect)

    def store(self, suspect: str, history: CrashHistory) -> None:
        """Replace the history of a suspect."""
        if self._histories.get(suspect) == history:
            return
        self._histories[suspect] = history
        self.version += 1
        self._versions[suspect] = self.version
        if self.on_change is not None:
            self.on_change()
        if len(self._histories) > MAX_SUSPECTS:
            self.drop(min(self._histories, key=self._rank))

    def join(self, record: CrashRecord) -> None:
        """Join with the record of another process."""
        history = self._histories.get(record.fingerprint, CrashHistory())
        joined = history.joined(record.marks, record.cleared_at, record.rank)
        self.store(record.fingerprint, joined)

    def drop(self, suspect: str) -> None:
        """Forget a suspect."""
        del self._histories[suspect]
        del self._versions[suspect]

    def record(self, suspect: str) -> CrashRecord:
        """Return the record of a suspect, as it is told to other processes."""
        history = self._histories[suspect]
        return CrashRecord(suspect, history.marks, history.cleared_at, history.rank)

    def newest(self) -> tuple[CrashRecord, ...]:
        """Return the records that changed last, for one message."""
        newest = sorted(self._versions, key=self._versions.__getitem__, reverse=True)
        return tuple(self.record(name) for name in newest[:RECORDS_PER_MESSAGE])

    def changes(self, after: int) -> CrashBatch:
        """Return the records that changed after a version, for one message.

        Records beyond RECORDS_PER_MESSAGE are left for the next call.
        """
        changed = sorted(
            (version, suspect)
            for suspect, version in self._versions.items()
            if version > after
        )[:RECORDS_PER_MESSAGE]
        records = tuple(self.record(suspect) for _, suspect in changed)
        return CrashBatch(records, changed[-1][0] if changed else after)

    def _rank(self, suspect: str) -> tuple[int, float, str]:
        """Return a key by which what counts least sorts first."""
        history = self._histories[suspect]
        return (len(history.marks), history.last_at, suspect)
