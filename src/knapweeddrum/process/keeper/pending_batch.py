"""A batch of facts that is being appended to the log."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.message.fact.fact_codec import assemble_batch
from knapweeddrum.process.keeper.pending_fact import PendingFact


@dataclasses.dataclass(slots=True, eq=False)
class PendingBatch:
    """Facts with one sequence number.

    ``maybe_written`` is true while the outcome of an attempt is unknown.
    """

    sequence: int
    entries: list[PendingFact]
    maybe_written: bool = False
    applied: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def payload(self, writer: str) -> bytes:
        """Return the record's payload."""
        encoded = tuple(entry.encoded for entry in self.entries)
        return assemble_batch(writer, self.sequence, encoded)
