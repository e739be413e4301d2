"""The parts of one checkpoint seen so far."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.replay.checkpoint import Checkpoint
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart


@dataclasses.dataclass(slots=True)
class CheckpointAssembly:
    """Bodies by index; the first part of an index counts."""

    checkpoint_id: str
    covers: int
    count: int
    bodies: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def add(self, part: CheckpointPart) -> Checkpoint | None:
        """Take a part and return the checkpoint once it is complete."""
        self.bodies.setdefault(part.index, part.body)
        if len(self.bodies) < self.count:
            return None
        state = b"".join(self.bodies[index] for index in range(self.count))
        return Checkpoint(self.checkpoint_id, self.covers, state)
