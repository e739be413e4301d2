"""When a keeper writes a checkpoint."""

from __future__ import annotations

from knapweeddrum.core.fold.checkpoint_need import CheckpointNeed

AGE_SHARE = 0.25
"""Share of the retention at which the first keeper writes for age."""

LAST_AGE_SHARE = 0.75
"""Share of the retention at which each keeper writes, whatever its rank."""

RANK_STEP = 0.5
"""Share of the thresholds by which each rank waits longer than the one before."""


class CheckpointPolicy:
    """Decides by records and by age; a higher rank waits longer.

    All keepers of a stream see each other's checkpoints on the log, so usually the
    keeper of rank 0 writes, and another only when that one is gone.
    """

    def __init__(self, records: int, retention: float) -> None:
        """``records`` between checkpoints; ``retention`` of the log in seconds."""
        self._records = records
        self._retention = retention

    def is_due(self, need: CheckpointNeed, rank: int) -> bool:
        """Tell whether the keeper with ``rank`` (from 0) writes now."""
        if need.records <= 0:
            return False
        delay = 1 + RANK_STEP * rank
        if need.records >= self._records * delay:
            return True
        share = min(AGE_SHARE * delay, LAST_AGE_SHARE)
        return need.oldest_age >= self._retention * share
