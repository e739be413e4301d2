"""Records read from the platform's store."""

from __future__ import annotations

import dataclasses

from knapweeddrum.platform.keyed_record import KeyedRecord


@dataclasses.dataclass(frozen=True, slots=True)
class StorePage:
    """Records ordered by offset, and the offset at which the next read starts."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    complete: bool
    """Whether the records reach the end of the stream."""
