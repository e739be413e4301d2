"""The newest record of each key of a stream."""

from __future__ import annotations

import dataclasses

from knapweeddrum.platform.keyed_record import KeyedRecord


@dataclasses.dataclass(frozen=True, slots=True)
class StoreListing:
    """Newest records; any at or after ``next_offset`` may be missing."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
