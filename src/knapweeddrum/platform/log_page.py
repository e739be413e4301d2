"""A page of records read from the platform's log."""

from __future__ import annotations

import dataclasses

from knapweeddrum.platform.log_record import LogRecord


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records in order; ``first`` is the oldest offset kept, ``next`` the next free."""

    first: int
    next: int
    records: tuple[LogRecord, ...]
