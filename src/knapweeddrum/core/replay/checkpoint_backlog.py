"""What speaks for writing a checkpoint."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointBacklog:
    """Records after the newest complete checkpoint, and the age of the first (s).

    That first record is the oldest that a reader of the checkpoint needs.
    """

    records: int
    oldest_age: float
