"""Splitting of a fold's state into facts for the log."""

from __future__ import annotations

from knapweeddrum.core.fold.stream_fold import StreamFold
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart

PART_BYTES = 64 * 1024
"""Size of a part's body."""


class CheckpointWriter:
    """Turns the state of a fold into parts of a bounded size."""

    def __init__(self, writer: str, part_bytes: int = PART_BYTES) -> None:
        """``writer`` is the incarnation that appends the parts."""
        self._writer = writer
        self._part_bytes = part_bytes

    def parts(self, fold: StreamFold) -> tuple[CheckpointPart, ...]:
        """Return the parts of a checkpoint of the fold as it is now.

        All parts must be appended; they may be spread over any records.
        """
        state = fold.dump()
        size = self._part_bytes
        bodies = [state[start : start + size] for start in range(0, len(state), size)]
        return tuple(
            CheckpointPart(
                checkpoint_id=f"{self._writer}/{fold.position}",
                covers=fold.position,
                index=index,
                count=len(bodies),
                body=body,
            )
            for index, body in enumerate(bodies)
        )
