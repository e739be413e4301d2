"""A batch of facts on its way to the log."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.message.fact.fact_codec import encode_batch
from knapweeddrum.process.keeper.pending_fact import PendingFact


@dataclasses.dataclass(slots=True, eq=False)
class PendingBatch:
    """Facts under one sequence number; ``maybe_written`` after an attempt in doubt."""

    sequence: int
    entries: list[PendingFact]
    maybe_written: bool = False
    folded: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def payload(self, writer: str) -> bytes:
        """Return the record's payload."""
        facts = tuple(entry.fact for entry in self.entries)
        return encode_batch(writer, self.sequence, facts)
