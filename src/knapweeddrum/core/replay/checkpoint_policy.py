"""When a keeper writes a checkpoint."""

from __future__ import annotations

from knapweeddrum.core.replay.checkpoint_backlog import CheckpointBacklog

FIRST_RANK_AGE_FRACTION = 0.25
"""Fraction of the log retention at which the keeper of rank 0 writes."""

ANY_RANK_AGE_FRACTION = 0.75
"""Fraction of the log retention at which each keeper writes, whatever its rank."""

RANK_DELAY_FRACTION = 0.5
"""Fraction of the rank 0 thresholds that each rank adds to those of the one before."""


class CheckpointPolicy:
    """Decides by number and age of the records; keepers of higher rank write later.

    All keepers of a stream read each other's checkpoints from the log, so usually the
    keeper of rank 0 writes, and another only if that keeper has failed.
    """

    def __init__(self, records: int, retention: float) -> None:
        """``records`` between two checkpoints; ``retention`` of the log in seconds."""
        self._records = records
        self._retention = retention

    def is_due(self, backlog: CheckpointBacklog, rank: int) -> bool:
        """Return whether the keeper with ``rank`` (from 0) should write now."""
        if backlog.records <= 0:
            return False
        delay = 1 + RANK_DELAY_FRACTION * rank
        if backlog.records >= self._records * delay:
            return True
        fraction = min(FIRST_RANK_AGE_FRACTION * delay, ANY_RANK_AGE_FRACTION)
        return backlog.oldest_age >= self._retention * fraction
