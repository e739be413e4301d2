"""The parts of one checkpoint that have been read so far."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.replay.checkpoint import Checkpoint
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart


@dataclasses.dataclass(slots=True)
class CheckpointAssembly:
    """Bodies of ``count`` parts by index; the first part with an index is used."""

    checkpoint_id: str
    covers: int
    count: int
    bodies: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def add(self, part: CheckpointPart) -> Checkpoint | None:
        """Add a part and return the checkpoint once all its parts are there."""
        self.bodies.setdefault(part.index, part.body)
        if len(self.bodies) < self.count:
            return None
        state = b"".join(self.bodies[index] for index in range(self.count))
        return Checkpoint(self.checkpoint_id, self.covers, state)
