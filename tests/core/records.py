from __future__ import annotations

from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.fact_codec import encode_batch


class RecordWriter:
    """Appends batches of facts to a list of records and applies them."""

    def __init__(self, ledger: Ledger, writer: str = "x/keeper/1") -> None:
        self.replay = StreamReplay(ledger)
        self.records: list[tuple[float, bytes]] = []
        self._writer = writer
        self._sequence = 0

    def append(self, *facts: AnyFact, time: float = 0.0) -> tuple[FactVerdict, ...]:
        self._sequence += 1
        payload = encode_batch(self._writer, self._sequence, facts)
        self.records.append((time, payload))
        return self.replay.apply(len(self.records) - 1, time, payload)
