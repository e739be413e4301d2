"""Endpoint crashes that happened while one request ran there."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.message.call.crash_mark import CrashMark

MAX_MARKS = 16
"""Newest marks kept for one request."""

SAME_CRASH_SECONDS = 5.0
"""Marks of one endpoint that are at most this far apart belong to the same crash."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashHistory:
    """Crash marks of one request, sorted by time and endpoint.

    Marks up to ``cleared_at``, in Unix seconds, are dropped. Joining two histories
    takes the union of their marks, the later ``cleared_at`` and the higher rank, and
    keeps the newest marks; it is idempotent, commutative and associative.
    """

    marks: tuple[CrashMark, ...] = ()
    cleared_at: float = 0.0
    rank: int = 0
    """Place of a part in its prompts, counted from the first; 0 for a request."""

    @property
    def last_at(self) -> float:
        """Return the Unix time of the last mark or clearing."""
        if not self.marks:
            return self.cleared_at
        return max(self.cleared_at, self.marks[-1].at)

    def joined(
        self, marks: Iterable[CrashMark], cleared_at: float = 0.0, rank: int = 0
    ) -> CrashHistory:
        """Return this history joined with more marks and another ``cleared_at``."""
        latest = max(self.cleared_at, cleared_at)
        all_marks = {*self.marks, *marks}
        kept = sorted((mark for mark in all_marks if mark.at > latest), key=_order)
        return CrashHistory(tuple(kept[-MAX_MARKS:]), latest, max(self.rank, rank))

    def crashes(self, same_within: float = SAME_CRASH_SECONDS) -> tuple[float, ...]:
        """Return the Unix time of the last mark of each distinct crash, in order.

        Marks of one endpoint that are at most ``same_within`` seconds apart belong to
        the same crash.
        """
        last_by_endpoint: dict[str, float] = {}
        crash_times: list[float] = []
        for mark in self.marks:
            last = last_by_endpoint.get(mark.endpoint)
            if last is not None and mark.at - last <= same_within:
                crash_times.remove(last)
            last_by_endpoint[mark.endpoint] = mark.at
            crash_times.append(mark.at)
        return tuple(crash_times)

    def covers(self, other: CrashHistory) -> bool:
        """Return whether each mark of ``other`` belongs to a crash in this history."""
        return all(
            any(_is_same_crash(mark, own) for own in self.marks) for mark in other.marks
        )

    def without_oldest(self) -> CrashHistory:
        """Return the history with its oldest crash cleared."""
        crashes = self.crashes()
        return self.joined((), crashes[0]) if crashes else self

    def without_marks(self) -> CrashHistory:
        """Return the history with all its crashes cleared."""
        return self.joined((), self.marks[-1].at) if self.marks else self


def _is_same_crash(first: CrashMark, second: CrashMark) -> bool:
    if first.endpoint != second.endpoint:
        return False
    return abs(first.at - second.at) <= SAME_CRASH_SECONDS


def _order(mark: CrashMark) -> tuple[float, str]:
    return (mark.at, mark.endpoint)
