"""Records of a crash register for one message."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.crash_record import CrashRecord


@dataclasses.dataclass(frozen=True, slots=True)
class CrashBatch:
    """Changed records; the next batch starts after ``version``."""

    records: tuple[CrashRecord, ...]
    version: int
