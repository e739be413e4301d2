from __future__ import annotations

import dataclasses
import os
import random

from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.spending_limits import NO_LIMIT, SpendingLimits
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.message.call.spending_record import (
    MachineTime,
    SpendingLimit,
    SpendingRecord,
)

SEEDS = int(os.environ.get("KNAPWEED_SPENDING_SEEDS", "300"))
ORGANISATION = "mill"
HOLDER = "host-1/entry/1"
SUCCESSOR = "host-1/entry/2"
CLAIMED = 100_000


def machine(seconds: float, boot: str = "b1") -> MachineTime:
    return MachineTime(boot, 1_000 + seconds, 1_800_000_000 + seconds)


def spending_record(
    number: int, tokens: int, rate: float, at: float, era: int = 0
) -> SpendingRecord:
    limit = SpendingLimit(ORGANISATION, tokens, rate)
    return SpendingRecord(HOLDER, number, era, machine(at), (limit,))


def ledger(claimed: int = CLAIMED, committed: int = 0) -> TokenClaimLedger:
    known = TokenClaimLedger()
    claim = TokenClaim(ORGANISATION, HOLDER, claimed, committed, committed, "host-2/1")
    known.apply(1, claim)
    return known


def claims_after(
    record: SpendingRecord, started_at: MachineTime, era: int = 0
) -> list[TokenClaim]:
    claims = PredecessorClaims("host-1", SUCCESSOR)
    claims.apply([record], era, started_at)
    return claims.releases(ledger())


@dataclasses.dataclass(slots=True)
class Write:
    """A conditional write; one without an answer may be carried out later."""

    record: SpendingRecord
    expected_end: int


class HolderDay:
    """A holder that spends all it may, at a store that loses answers and is late."""

    def __init__(self, seed: int, limits: SpendingLimits) -> None:
        self._rng = random.Random(seed)
        self._limits = limits
        self._stored: SpendingRecord | None = None
        self._end = 0
        self._known_end: int | None = 0
        self._late: list[Write] = []
        self._number = 0
        self._now = 0.0
        self.spent = 0

    def play(self) -> None:
        """Write, spend and wait at random, until the holder is killed."""
        for _ in range(self._rng.randint(1, 30)):
            self._now += self._rng.choice((0.0, 0.01, 0.5, 3.0))
            step = self._rng.random()
            if step < 0.5:
                self._write()
            elif step < 0.6:
                self._carry_out_late()
            self._spend()

    def strands(self) -> int:
        """Return what the next incarnation takes for spent at most, by the record."""
        if self._rng.random() < 0.5:
            self._carry_out_late()
        started_at = machine(self._now + self._rng.choice((0.0, 0.3, 2.0)))
        if self._stored is None:
            return CLAIMED
        (claim,) = claims_after(self._stored, started_at) or [None]
        return claim.claimed if claim is not None else CLAIMED

    def _write(self) -> None:
        if self._known_end is None:
            self._known_end = self._end
        self._number += 1
        tokens = self.spent + self._rng.choice((0, 10, 1_000))
        rate = self._rng.choice((0.0, 10.0, 500.0))
        record = spending_record(self._number, tokens, rate, self._now)
        self._limits.begin(record, self._now)
        write = Write(record, self._known_end)
        outcome = self._rng.choice(("done", "done", "refused", "lost", "late"))
        if outcome == "refused":
            self._limits.discard(record.number)
            return
        if outcome == "late":
            self._late.append(write)
            return
        is_done = self._carry_out(write)
        if outcome == "lost":
            return
        if is_done:
            self._known_end = self._end
            self._limits.confirm(record.number)
        else:
            self._known_end = None
            self._limits.discard(record.number)

    def _carry_out(self, write: Write) -> bool:
        if write.expected_end != self._end:
            return False
        self._stored = write.record
        self._end += 1
        return True

    def _carry_out_late(self) -> None:
        self._rng.shuffle(self._late)
        while self._late:
            self._carry_out(self._late.pop())

    def _spend(self) -> None:
        limit = min(CLAIMED, self._limits.limit(ORGANISATION, self._now))
        self.spent = max(self.spent, min(limit, self.spent + 2_000))


class ForgetfulLimits(SpendingLimits):
    """Keeps only to the record that was sent last."""

    def begin(self, record: SpendingRecord, now: float) -> None:
        self._in_force.clear()
        super().begin(record, now)


class HastyLimits(SpendingLimits):
    """Forgets a record whose write got no answer when another one is refused."""

    def discard(self, number: int) -> None:
        self._in_force = self._in_force[:1]


def overspent(kind: type[SpendingLimits]) -> list[int]:
    """Return the seeds whose holder spent more than is taken for spent."""
    seeds = []
    for seed in range(SEEDS):
        day = HolderDay(seed, kind())
        day.play()
        if day.spent > day.strands():
            seeds.append(seed)
    return seeds


def test_nothing_is_given_back_that_a_killed_holder_has_spent():
    """Whatever became of its writes: lost answers, refusals, late ones."""
    assert overspent(SpendingLimits) == []


def test_search_finds_holders_that_keep_to_one_record_only():
    """The store may have another one than the holder believes."""
    assert overspent(ForgetfulLimits)
    assert overspent(HastyLimits)


def test_rest_of_a_claim_comes_back_without_its_witness():
    """The limit has grown by the time that passed, and no more was spent."""
    record = spending_record(1, 20_000, 1_000.0, at=10.0)
    (claim,) = claims_after(record, machine(12.0))
    assert 22_000 <= claim.claimed <= 22_001
    assert (claim.committed, claim.unlocked, claim.witness) == (
        claim.claimed,
        claim.claimed,
        "",
    )


def test_record_without_a_common_clock_gives_nothing_back():
    """After a start of the machine, a jump back or in another era nothing is known."""
    record = spending_record(1, 20_000, 1_000.0, at=10.0, era=3)
    for started_at, era in (
        (machine(12.0, boot="b2"), 3),
        (machine(12.0, boot=""), 3),
        (machine(9.0), 3),
        (MachineTime("b1", 1_012.0, 1_800_000_009.0), 3),
        (machine(12.0), 4),
    ):
        assert claims_after(record, started_at, era) == []
    assert claims_after(record, machine(12.0), 3)


def test_record_of_another_host_or_of_this_incarnation_gives_nothing_back():
    """They may live and spend on."""
    record = spending_record(1, 20_000, 0.0, at=10.0)
    for host_name, incarnation in (("host-2", "host-2/entry/1"), ("host-1", HOLDER)):
        claims = PredecessorClaims(host_name, incarnation)
        claims.apply([record], 0, machine(12.0))
        assert claims.releases(ledger()) == []


def test_longest_of_the_times_by_two_clocks_counts():
    """Each may show too little: one starts anew, the other may jump back."""
    earlier = MachineTime("b1", 100.0, 1_000.0)
    assert MachineTime("b1", 101.0, 1_004.0).seconds_since(earlier) == 4.0
    assert MachineTime("b1", 104.0, 1_001.0).seconds_since(earlier) == 4.0


def test_claim_is_never_lowered_below_what_it_says_was_spent():
    """A claim may have been written after the last record."""
    claims = PredecessorClaims("host-1", SUCCESSOR)
    claims.apply([spending_record(1, 5, 0.0, at=10.0)], 0, machine(10.0))
    (claim,) = claims.releases(ledger(committed=700))
    assert claim.claimed == 700
    assert claims.settled(ledger(committed=700)) == []
    assert claims.settled(ledger(claimed=700, committed=700)) == [HOLDER]


def test_organisation_without_a_limit_is_unlimited():
    """A claim that is younger than the record is not bound by it."""
    limits = SpendingLimits()
    limits.begin(spending_record(1, 5, 0.0, at=0.0), 0.0)
    assert limits.limit("other", 1.0) == NO_LIMIT
    assert limits.limit(ORGANISATION, 1.0) == 5
