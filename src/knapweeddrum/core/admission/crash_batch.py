"""Records of a crash register for one message."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.crash_record import CrashRecord


@dataclasses.dataclass(frozen=True, slots=True)
class CrashBatch:
    """Records that changed, and the version to ask after next time."""

    records: tuple[CrashRecord, ...]
    version: int
