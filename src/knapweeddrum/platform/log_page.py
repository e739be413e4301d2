"""A page of records read from the platform's log."""

from __future__ import annotations

import dataclasses

from knapweeddrum.platform.log_record import LogRecord


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records ordered by offset.

    ``first`` is the oldest offset kept, ``next`` the first free offset.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]
