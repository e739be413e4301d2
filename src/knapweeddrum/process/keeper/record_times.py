"""Sparse table of the log times of recent records."""

from __future__ import annotations

import bisect

LOG_TIME_STEP_SECONDS = 1.0
LOG_TIMES_LIMIT = 4096


class RecordTimes:
    """Log times by offset, at most one entry for each second of log time."""

    def __init__(self) -> None:
        self._offsets: list[int] = []
        self._times: list[float] = []

    def add(self, offset: int, time: float) -> None:
        """Add the log time (Unix s) of a record."""
        if self._times and time - self._times[-1] < LOG_TIME_STEP_SECONDS:
            return
        self._offsets.append(offset)
        self._times.append(time)
        if len(self._offsets) > LOG_TIMES_LIMIT:
            del self._offsets[: LOG_TIMES_LIMIT // 2]
            del self._times[: LOG_TIMES_LIMIT // 2]

    def at(self, offset: int) -> float | None:
        """Return the time of the last entry up to ``offset``, else of the first.

        None if there is no entry.
        """
        if not self._offsets:
            return None
        index = bisect.bisect_right(self._offsets, offset) - 1
        return self._times[max(0, index)]
