"""Search for the newest complete checkpoint in a stream's records."""

from __future__ import annotations

from knapweeddrum.core.replay.checkpoint import Checkpoint
from knapweeddrum.core.replay.checkpoint_assembly import CheckpointAssembly
from knapweeddrum.message.exceptions import MessageError
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.fact_codec import decode_batch, decode_fact

INCOMPLETE_CHECKPOINTS_LIMIT = 8
"""Incomplete checkpoints kept at a time; the oldest is dropped first."""

_PART_TAG = str(CheckpointPart.__struct_config__.tag).encode()
"""Bytes that each record with a part contains; records without need no decoding."""


class CheckpointReader:
    """Assembles the parts of checkpoints, which several writers may interleave.

    Parts belong together if writer, identifier, covered offset and count are equal.
    Only the newest complete checkpoint is kept: if records after it have expired,
    records after each older one have expired as well.
    """

    def __init__(self) -> None:
        self._newest: Checkpoint | None = None
        self._assemblies: dict[tuple[str, str, int, int], CheckpointAssembly] = {}

    def read(self, offset: int, payload: bytes) -> None:
        """Read one record; records without parts and malformed ones are ignored."""
        if _PART_TAG not in payload:
            return
        try:
            batch = decode_batch(payload)
        except MessageError:
            return
        for raw in batch.facts:
            fact = decode_fact(raw)
            if isinstance(fact, CheckpointPart):
                self.add(offset, batch.writer, fact)

    def add(self, offset: int, writer: str, part: CheckpointPart) -> None:
        """Add one part found at ``offset``."""
        if not 0 <= part.index < part.count or not 0 <= part.covers < offset:
            return
        if self._newest and part.covers <= self._newest.covers:
            return
        key = (writer, part.checkpoint_id, part.covers, part.count)
        assembly = self._assemblies.get(key)
        if assembly is None:
            assembly = CheckpointAssembly(part.checkpoint_id, part.covers, part.count)
            self._assemblies[key] = assembly
            self._limit_assemblies()
        checkpoint = assembly.add(part)
        if checkpoint is not None:
            self._set_newest(checkpoint)

    def newest(self, first_kept: int) -> Checkpoint | None:
        """Return the newest complete checkpoint; None if there is none to replay from.

        ``first_kept`` is the first offset that the log still holds. All records after
        the checkpoint must be held.
        """
        if self._newest is None or self._newest.covers + 1 < first_kept:
            return None
        return self._newest

    def _set_newest(self, checkpoint: Checkpoint) -> None:
        self._newest = checkpoint
        self._assemblies = {
            key: assembly
            for key, assembly in self._assemblies.items()
            if assembly.covers > checkpoint.covers
        }

    def _limit_assemblies(self) -> None:
        # A writer that fails in between leaves a checkpoint that is never completed.
        while len(self._assemblies) > INCOMPLETE_CHECKPOINTS_LIMIT:
            del self._assemblies[next(iter(self._assemblies))]
