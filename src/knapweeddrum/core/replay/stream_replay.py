"""The replay of one log stream into a ledger."""

from __future__ import annotations

from knapweeddrum.core.exceptions import OffsetGapError
from knapweeddrum.core.replay.expiry import pop_expired
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.replay_state import ReplayState
from knapweeddrum.core.replay.state_codec import decode_state, encode_state
from knapweeddrum.core.replay.writer_state import WriterState
from knapweeddrum.message.exceptions import MessageError
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.batch import Batch
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.fact_codec import decode_batch, decode_fact

WRITER_WINDOW_SECONDS = 7 * 24 * 3600.0
"""Log time without a batch after which the sequence number of a writer is forgotten."""


class StreamReplay:
    """Applies records to a ledger in offset order and drops repeated batches.

    The state depends only on the records, so all readers of a stream reach the same
    state and the same verdicts.
    """

    def __init__(self, ledger: Ledger, window: float = WRITER_WINDOW_SECONDS) -> None:
        """Start before the first record; ``window`` is in seconds of log time."""
        self.ledger = ledger
        self._window = window
        self._position = -1
        self._time = 0.0
        self._writers: dict[str, WriterState] = {}

    @property
    def position(self) -> int:
        """Return the offset of the last applied record; -1 if there is none."""
        return self._position

    @property
    def time(self) -> float:
        """Return the latest log time of the applied records, in seconds."""
        return self._time

    def last_sequence(self, writer: str) -> int | None:
        """Return the last sequence number applied of a writer; None if unknown."""
        known = self._writers.get(writer)
        return known.sequence if known else None

    def apply(
        self, offset: int, time: float, payload: bytes
    ) -> tuple[FactVerdict, ...]:
        """Apply one record and return the verdicts on its facts.

        A record applied before, a repeated batch and a malformed record give no
        verdicts. Raises OffsetGapError if earlier records are missing.
        """
        if offset <= self._position:
            return ()
        if offset > self._position + 1:
            raise OffsetGapError(f"got offset {offset} after {self._position}")
        self._position = offset
        try:
            batch = decode_batch(payload)
        except MessageError:
            return ()
        known = self._writers.get(batch.writer)
        if known and batch.sequence <= known.sequence:
            return ()
        self._advance(time)
        self._record_writer(batch)
        return self._apply_facts(batch, offset)

    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        writers = sorted(self._writers.values(), key=_writer_order)
        return encode_state(
            ReplayState(
                position=self._position,
                time=self._time,
                writers=tuple(writers),
                ledger=self.ledger.dump(),
            )
        )

    def load(self, state: bytes) -> None:
        """Replace the state by an encoded one.

        Raises StateError if ``state`` can't be decoded.
        """
        decoded = decode_state(state, ReplayState)
        self.ledger.load(decoded.ledger)
        self._position = decoded.position
        self._time = decoded.time
        self._writers = {entry.writer: entry for entry in decoded.writers}

    def _advance(self, time: float) -> None:
        self._time = max(self._time, time)
        self.ledger.prune(self._time)
        pop_expired(self._writers, _writer_time, self._time - self._window)

    def _record_writer(self, batch: Batch) -> None:
        # Removed and added again to keep the writers in the order of their times.
        self._writers.pop(batch.writer, None)
        self._writers[batch.writer] = WriterState(
            time=self._time, writer=batch.writer, sequence=batch.sequence
        )

    def _apply_facts(self, batch: Batch, offset: int) -> tuple[FactVerdict, ...]:
        verdicts = []
        for index, raw in enumerate(batch.facts):
            fact = decode_fact(raw)
            if fact is None or isinstance(fact, CheckpointPart):
                continue
            verdict = self._apply_fact(batch, index, fact, offset)
            if verdict is not None:
                verdicts.append(verdict)
        return tuple(verdicts)

    def _apply_fact(
        self, batch: Batch, index: int, fact: AnyFact, offset: int
    ) -> FactVerdict | None:
        outcome = self.ledger.apply(fact, offset, self._time)
        if outcome is None:
            return None
        return FactVerdict(
            writer=batch.writer,
            sequence=batch.sequence,
            index=index,
            fact=fact,
            outcome=outcome.outcome,
            tokens=outcome.tokens,
            version=outcome.version,
            offset=outcome.offset,
        )


def _writer_time(entry: WriterState) -> float:
    return entry.time


def _writer_order(entry: WriterState) -> tuple[float, str]:
    return (entry.time, entry.writer)
