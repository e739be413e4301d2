"""Division of the state of a replay into facts for the log."""

from __future__ import annotations

from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart

CHECKPOINT_PART_BYTES = 64 * 1024
"""Maximum size of the body of a part."""


class CheckpointWriter:
    """Divides the state of a replay into parts of a bounded size."""

    def __init__(self, writer: str, part_bytes: int = CHECKPOINT_PART_BYTES) -> None:
        """``writer`` is the incarnation that appends the parts."""
        self._writer = writer
        self._part_bytes = part_bytes

    def parts(self, replay: StreamReplay) -> tuple[CheckpointPart, ...]:
        """Return the parts of a checkpoint of the current state.

        All parts must be appended, in any number of records.
        """
        state = replay.dump()
        size = self._part_bytes
        bodies = [state[start : start + size] for start in range(0, len(state), size)]
        return tuple(
            CheckpointPart(
                checkpoint_id=f"{self._writer}/{replay.position}",
                covers=replay.position,
                index=index,
                count=len(bodies),
                body=body,
            )
            for index, body in enumerate(bodies)
        )
