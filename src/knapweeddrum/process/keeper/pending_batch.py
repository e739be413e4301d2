"""A batch of facts on its way to the log."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.message.fact.fact_codec import assemble_batch
from knapweeddrum.process.keeper.pending_fact import PendingFact


@dataclasses.dataclass(slots=True, eq=False)
class PendingBatch:
    """Facts under one sequence number; ``maybe_written`` after an attempt in doubt."""

    sequence: int
    entries: list[PendingFact]
    maybe_written: bool = False
    applied: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def payload(self, writer: str) -> bytes:
        """Return the record's payload."""
        encoded = tuple(entry.encoded for entry in self.entries)
        return assemble_batch(writer, self.sequence, encoded)
