"""The records that no complete checkpoint covers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointBacklog:
    """Number of records after the newest complete checkpoint, and the oldest's age (s).

    A reader of that checkpoint needs all these records, so the oldest must not expire.
    """

    records: int
    oldest_age: float
