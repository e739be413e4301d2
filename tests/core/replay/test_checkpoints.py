from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.replay.checkpoint_backlog import CheckpointBacklog
from knapweeddrum.core.replay.checkpoint_policy import CheckpointPolicy
from knapweeddrum.core.replay.checkpoint_reader import CheckpointReader
from knapweeddrum.core.replay.checkpoint_writer import CheckpointWriter
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.fact.checkpoint_part import CheckpointPart
from knapweeddrum.message.fact.deposit import Deposit
from tests.core.records import RecordWriter


def deposit(number: int) -> Deposit:
    return Deposit(topup_id=f"t{number}", budget="org/b", tokens=number + 1)


def test_reader_restores_the_state_from_interleaved_writers():
    """The newest complete checkpoint and the records after it give the full state."""
    log = RecordWriter(BudgetLedger())
    log.append(deposit(0))
    first = CheckpointWriter("k1", part_bytes=20).parts(log.replay)
    log.append(deposit(1))
    second = CheckpointWriter("k2", part_bytes=20).parts(log.replay)
    for index in range(max(len(first), len(second))):
        log.append(*first[index : index + 1], *second[index : index + 1])
    log.append(deposit(2), *first[:1])
    reader = CheckpointReader()
    for offset, (_, payload) in enumerate(log.records):
        reader.read(offset, payload)
    checkpoint = reader.newest(first_kept=2)
    assert checkpoint is not None
    assert checkpoint.covers == 1
    restored = StreamReplay(BudgetLedger())
    restored.load(checkpoint.state)
    for offset in range(checkpoint.covers + 1, len(log.records)):
        restored.apply(offset, *log.records[offset])
    assert restored.dump() == log.replay.dump()
    assert reader.newest(first_kept=3) is None


PARTS = st.builds(
    CheckpointPart,
    st.sampled_from(["a", "b"]),
    st.integers(0, 3),
    st.integers(-1, 3),
    st.integers(0, 3),
    st.sampled_from([b"x", b"y"]),
)


@given(st.lists(st.tuples(st.sampled_from(["k1", "k2"]), PARTS), max_size=40))
def test_reader_returns_only_complete_checkpoints_of_one_writer(parts):
    """A checkpoint has all parts of one writer, whatever parts a stream holds."""
    reader = CheckpointReader()
    bodies_by_checkpoint: dict[tuple[str, str, int, int], dict[int, bytes]] = {}
    for offset, (writer, part) in enumerate(parts):
        reader.add(offset, writer, part)
        if part.covers < offset:
            key = (writer, part.checkpoint_id, part.covers, part.count)
            bodies_by_checkpoint.setdefault(key, {}).setdefault(part.index, part.body)
    newest = reader.newest(first_kept=0)
    complete = [
        (covers, b"".join(bodies[index] for index in range(count)))
        for (_, _, covers, count), bodies in bodies_by_checkpoint.items()
        if count and all(index in bodies for index in range(count))
    ]
    if newest is not None:
        assert (newest.covers, newest.state) in complete
    assert (newest.covers if newest else -1) == max([-1, *(c for c, _ in complete)])


def test_lower_ranks_write_first():
    """A checkpoint is due by number or age of records, later for each higher rank."""
    policy = CheckpointPolicy(records=100, retention=1000.0)
    many = CheckpointBacklog(records=120, oldest_age=1.0)
    old = CheckpointBacklog(records=1, oldest_age=300.0)
    oldest = CheckpointBacklog(records=1, oldest_age=750.0)
    assert [policy.is_due(many, rank) for rank in range(2)] == [True, False]
    assert [policy.is_due(old, rank) for rank in range(2)] == [True, False]
    assert policy.is_due(oldest, rank=50)
    assert not policy.is_due(CheckpointBacklog(records=0, oldest_age=900.0), rank=0)
