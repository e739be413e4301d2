"""When a keeper writes a checkpoint."""

from __future__ import annotations

from knapweeddrum.core.replay.checkpoint_backlog import CheckpointBacklog

FIRST_RANK_AGE_FRACTION = 0.25
"""Share of the retention at which the first keeper writes for age."""

ANY_RANK_AGE_FRACTION = 0.75
"""Share of the retention at which each keeper writes, whatever its rank."""

RANK_DELAY_FRACTION = 0.5
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

    def is_due(self, backlog: CheckpointBacklog, rank: int) -> bool:
        """Tell whether the keeper with ``rank`` (from 0) writes now."""
        if backlog.records <= 0:
            return False
        delay = 1 + RANK_DELAY_FRACTION * rank
        if backlog.records >= self._records * delay:
            return True
        fraction = min(FIRST_RANK_AGE_FRACTION * delay, ANY_RANK_AGE_FRACTION)
        return backlog.oldest_age >= self._retention * fraction
