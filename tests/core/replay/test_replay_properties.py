from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Iterable

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from knapweeddrum.core.budget.billed_request import BilledRequest
from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.budget_windows import BudgetWindows
from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.claim.request_claim_windows import RequestClaimWindows
from knapweeddrum.core.config.config_ledger import ConfigLedger
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.fact_codec import encode_batch
from tests.core.replay.fact_strategies import (
    ANSWERED_CLAIMS,
    BILL_FACTS,
    BUDGET_FACTS,
    CHECKPOINT_FACTS,
    CLAIM_FACTS,
    CONFIG_FACTS,
)
from tests.core.violation_search import assert_violation_found

WRITER_WINDOW_SECONDS = 50.0
SEARCH_SETTINGS = settings(max_examples=300)
VIOLATION_SEARCH_SETTINGS = settings(max_examples=2000, phases=[Phase.generate])
MALFORMED = b"\xc1 no batch"


BUDGET_WINDOWS = BudgetWindows(topup=40.0, bill=10.0, grant=20.0)
CLAIM_WINDOWS = RequestClaimWindows(
    20.0, 40.0, 10.0, max_body_bytes=8, max_total_body_bytes=14
)


def budget_ledger() -> Ledger:
    return BudgetLedger(BUDGET_WINDOWS)


def claim_ledger() -> Ledger:
    return RequestClaimLedger(CLAIM_WINDOWS)


def config_ledger() -> Ledger:
    return ConfigLedger(verdict_seconds=20.0, history_limit=3)


@dataclasses.dataclass(frozen=True)
class Append:
    """A batch, its delay (s) after the previous one, and an earlier batch to repeat."""

    writer: str
    facts: tuple[AnyFact, ...]
    pause: float
    repeated: int | None


def appends(facts: st.SearchStrategy[AnyFact]) -> st.SearchStrategy[list[Append]]:
    """Return lists of batches; ``facts`` may give tuples that stay in one batch."""
    groups = facts.map(lambda fact: fact if isinstance(fact, tuple) else (fact,))
    batch = st.lists(groups, min_size=1, max_size=3).map(itertools.chain.from_iterable)
    return st.lists(
        st.builds(
            Append,
            st.sampled_from(["w1", "w2"]),
            batch.map(tuple),
            st.sampled_from([0.0, 3.0, 3.0, 8.0, 25.0, -4.0]),
            st.none() | st.integers(0, 30),
        ),
        min_size=1,
        max_size=20,
    )


def records(
    batches: Iterable[Append], repeats: bool = True
) -> list[tuple[float, bytes]]:
    """Return the records of a stream.

    Without ``repeats``, malformed records replace repeated batches to keep offsets.
    """
    time = 1000.0
    sequences: dict[str, int] = {}
    written: list[tuple[float, bytes]] = []
    sent: list[bytes] = []
    for batch in batches:
        time += batch.pause
        sequences[batch.writer] = sequences.get(batch.writer, 0) + 1
        sent.append(encode_batch(batch.writer, sequences[batch.writer], batch.facts))
        written.append((time, sent[-1]))
        if batch.repeated is not None:
            again = sent[batch.repeated % len(sent)]
            written.append((time, again if repeats else MALFORMED))
            written.append((time, MALFORMED))
    return written


def replayed(replay: StreamReplay, stream: list[tuple[float, bytes]]) -> StreamReplay:
    for offset, record in enumerate(stream):
        replay.apply(offset, *record)
    return replay


def check_checkpoint(
    factory: Callable[[], Ledger],
    facts: st.SearchStrategy[AnyFact],
    search_settings: settings = SEARCH_SETTINGS,
) -> None:
    """Check that a replay restored after any record applies the next one alike.

    Verdicts and encoded states are equal after one record, so by induction after all.
    """

    @search_settings
    @given(appends(facts))
    def search(batches):
        whole = StreamReplay(factory(), WRITER_WINDOW_SECONDS)
        for offset, record in enumerate(records(batches)):
            restored = StreamReplay(factory(), WRITER_WINDOW_SECONDS)
            restored.load(whole.dump())
            expected = whole.apply(offset, *record)
            assert restored.apply(offset, *record) == expected
            assert restored.dump() == whole.dump()

    search()


def check_repeats(
    factory: Callable[[], Ledger],
    facts: st.SearchStrategy[AnyFact],
    replay_class: type[StreamReplay] = StreamReplay,
) -> None:
    """Check that a repeated batch affects a ledger no more than a malformed record."""

    @given(appends(facts))
    def search(batches):
        once = replayed(replay_class(factory()), records(batches, repeats=False))
        again = replayed(replay_class(factory()), records(batches))
        assert again.ledger.dump() == once.ledger.dump()

    search()


LEDGERS = (
    (budget_ledger, BUDGET_FACTS | CHECKPOINT_FACTS),
    (budget_ledger, BILL_FACTS),
    (claim_ledger, CLAIM_FACTS | ANSWERED_CLAIMS | CHECKPOINT_FACTS),
    (config_ledger, CONFIG_FACTS | CHECKPOINT_FACTS),
)


@params(*LEDGERS)
def test_checkpoint_and_later_records_give_the_full_state(factory, facts):
    """A replay restored from a checkpoint at any offset reaches the full state."""
    check_checkpoint(factory, facts)


@params(*LEDGERS)
def test_repeated_batches_change_nothing(factory, facts):
    """A batch that is appended again after a lost reply doesn't change the ledger."""
    check_repeats(factory, facts)


class LedgerWithoutIdentifiers(BudgetLedger):
    """A faulty ledger that restores no identifiers from a checkpoint."""

    def load(self, state: bytes) -> None:
        super().load(state)
        self._topups.clear()
        self._billed.clear()


class LedgerOrderedByUse(BudgetLedger):
    """A faulty ledger that orders request keys by last use, also by repeated bills."""

    def _apply_bill(self, fact, time):
        outcome = super()._apply_bill(fact, time)
        key = BilledRequest.digest(fact.request_key)
        if key in self._billed:
            self._billed[key] = self._billed.pop(key)
        return outcome


class ReplayWithoutSequences(StreamReplay):
    """A faulty replay that applies repeated batches."""

    def _record_writer(self, batch) -> None:
        pass


class LedgerDroppingBodiesByArrival(RequestClaimLedger):
    """A faulty ledger that drops bodies of equal time in the order of arrival."""

    def _oldest_body(self):
        return next(iter(self._bodies))


@params(
    (lambda: LedgerWithoutIdentifiers(BUDGET_WINDOWS), BUDGET_FACTS),
    (lambda: LedgerOrderedByUse(BUDGET_WINDOWS), BILL_FACTS),
    (lambda: LedgerDroppingBodiesByArrival(CLAIM_WINDOWS), ANSWERED_CLAIMS),
)
def test_search_finds_incomplete_checkpoints(factory, facts):
    """The search finds an offset after which a restored replay has other results."""
    assert_violation_found(
        lambda: check_checkpoint(factory, facts, VIOLATION_SEARCH_SETTINGS)
    )


def test_search_finds_repeated_batches_that_are_applied():
    """The search finds a repeated batch that changes the ledger."""
    assert_violation_found(
        lambda: check_repeats(budget_ledger, BUDGET_FACTS, ReplayWithoutSequences)
    )


@given(appends(BUDGET_FACTS))
def test_tokens_of_a_budget_always_add_up(batches):
    """Deposited = balance + held + billed + duplicate, and no summand is negative."""
    replay = StreamReplay(budget_ledger(), WRITER_WINDOW_SECONDS)
    for offset, record in enumerate(records(batches)):
        replay.apply(offset, *record)
        for budget in replay.ledger.budgets():
            status = replay.ledger.status(budget, live=())
            assert min(status.balance, status.held, status.billed) >= 0
            assert min(status.duplicate, status.excess) >= 0
            assert status.stranded == status.held
