from __future__ import annotations

import collections
import dataclasses

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.claim.request_claim_state import RequestClaimState
from knapweeddrum.core.claim.request_claim_windows import RequestClaimWindows
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.fact_codec import encode_batch
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome
from tests.core.violation_search import assert_violation_found

CLAIM_SECONDS = 100.0
WINDOWS = RequestClaimWindows(
    resolved_seconds=CLAIM_SECONDS,
    unresolved_seconds=5 * CLAIM_SECONDS,
    body_seconds=CLAIM_SECONDS,
)
RECENT_INDEXES = st.integers(0, 2)
MOSTLY_TRUE = st.sampled_from([True, True, True, False])
MOSTLY_FALSE = st.sampled_from([False, False, False, True])
CHECK_SETTINGS = settings(max_examples=400, stateful_step_count=30)
SEARCH_SETTINGS = settings(
    max_examples=1500, stateful_step_count=30, phases=[Phase.generate]
)


@dataclasses.dataclass
class Attempt:
    """State of one claimant; ``won`` is the last verdict it read, maybe outdated."""

    claim_key: str
    claimant: str
    won: bool = False
    dispatched: bool = False
    ended: bool = False


class ClaimMachine(RuleBasedStateMachine):
    """Random attempts to run requests; at most one for each key may dispatch.

    Attempts may pause or fail at any step, and the log may receive their records late
    or again.
    """

    ledger_class = RequestClaimLedger

    def __init__(self) -> None:
        super().__init__()
        self.fold = StreamReplay(self.ledger_class(WINDOWS), CLAIM_SECONDS)
        self.time = 1000.0
        self.issued: dict[str, float] = {}
        self.sent: list[bytes] = []
        self.attempts: list[Attempt] = []
        self.dispatches: collections.Counter[str] = collections.Counter()

    @rule(
        is_new=MOSTLY_FALSE,
        is_written=MOSTLY_TRUE,
        is_paused=MOSTLY_FALSE,
        ends=st.booleans(),
    )
    def attempt(self, is_new, is_written, is_paused, ends):
        """Claim, read the verdict and perhaps record an outcome."""
        self.claim(is_new, is_written)
        self.check(0, is_paused)
        if ends:
            self.end(0, "unknown", is_written, is_failed=False)

    @rule(is_new=MOSTLY_FALSE, is_written=MOSTLY_TRUE)
    def claim(self, is_new, is_written):
        if is_new or not self.issued:
            self.issued[f"key{len(self.issued)}"] = self.time
        claim_key = f"key{len(self.issued) - 1}"
        attempt = Attempt(claim_key, f"c{len(self.attempts)}")
        self.attempts.append(attempt)
        self._write(
            RequestClaim(claim_key, attempt.claimant, "p", self.time), is_written
        )

    @rule(recent_index=RECENT_INDEXES)
    def late_append(self, recent_index):
        """Append a delayed batch, or repeat one that was appended before."""
        if self.sent:
            self._append(self.sent[-1 - recent_index % len(self.sent)])

    @rule(recent_index=RECENT_INDEXES, is_paused=MOSTLY_FALSE)
    def check(self, recent_index, is_paused):
        """Read the verdict, and dispatch unless paused in between."""
        for attempt in self._recent_open_attempts(recent_index):
            verdict = self._verdict(attempt)
            attempt.won = verdict is ClaimVerdict.WON
            if verdict is ClaimVerdict.NOT_RUN:
                assert not attempt.dispatched
            if verdict is ClaimVerdict.EXPIRED:
                assert self.time - self.issued[attempt.claim_key] > CLAIM_SECONDS
            if verdict in {ClaimVerdict.DONE, ClaimVerdict.UNKNOWN}:
                assert self.dispatches[attempt.claim_key] == 1
            if not is_paused:
                self.dispatch(recent_index)

    @rule(recent_index=RECENT_INDEXES)
    def dispatch(self, recent_index):
        for attempt in self._recent_open_attempts(recent_index):
            if attempt.won and not attempt.dispatched:
                attempt.dispatched = True
                self.dispatches[attempt.claim_key] += 1

    @rule(
        recent_index=RECENT_INDEXES,
        state=st.sampled_from(["unknown", "unknown", "done"]),
        is_written=MOSTLY_TRUE,
        is_failed=MOSTLY_FALSE,
    )
    def end(self, recent_index, state, is_written, is_failed):
        """Record an outcome, or fail without one."""
        for attempt in self._recent_open_attempts(recent_index):
            attempt.ended = True
            if not is_failed:
                state = state if attempt.dispatched else "not_run"
                fact = RequestClaimOutcome(attempt.claim_key, attempt.claimant, state)
                self._write(fact, is_written)

    @rule(
        seconds=st.sampled_from(
            [
                CLAIM_SECONDS / 2,
                CLAIM_SECONDS / 2,
                2 * CLAIM_SECONDS,
                20 * CLAIM_SECONDS,
            ]
        )
    )
    def pause(self, seconds):
        self.time += seconds

    @invariant()
    def at_most_one_claimant_dispatches(self):
        assert max(self.dispatches.values(), default=0) <= 1

    def _verdict(self, attempt: Attempt) -> ClaimVerdict:
        issued_at = self.issued[attempt.claim_key]
        reply = self.fold.ledger.verdict(
            attempt.claim_key, attempt.claimant, "p", issued_at
        )
        return reply.verdict

    def _recent_open_attempts(self, recent_index: int) -> list[Attempt]:
        """Return one attempt that has not ended, counted back from the newest, or none.

        ``recent_index`` is taken modulo the number of such attempts.
        """
        found = [attempt for attempt in self.attempts if not attempt.ended]
        return [found[-1 - recent_index % len(found)]] if found else []

    def _write(self, fact: AnyFact, is_written: bool) -> None:
        # Each batch has its own writer, so that batches may be appended in any order.
        self.sent.append(encode_batch(f"w{len(self.sent)}", 1, (fact,)))
        if is_written:
            self._append(self.sent[-1])

    def _append(self, payload: bytes) -> None:
        self.fold.apply(self.fold.position + 1, self.time, payload)


def check_claims(
    ledger_class: type[RequestClaimLedger], search_settings: settings = CHECK_SETTINGS
) -> None:
    machine = type("Machine", (ClaimMachine,), {"ledger_class": ledger_class})
    run_state_machine_as_test(machine, settings=search_settings)


def test_at_most_one_claimant_dispatches():
    """At most one attempt dispatches, however claims race, pause and repeat."""
    check_claims(RequestClaimLedger)


class LastClaimWins(RequestClaimLedger):
    """A faulty ledger in which the last claim of a key wins, not the first."""

    def _apply_claim(self, fact, time):
        if fact.claim_key in self._entries:
            self._entries[fact.claim_key].state = RequestClaimState.NOT_RUN
        return super()._apply_claim(fact, time)


class ClaimsWithLeases(RequestClaimLedger):
    """A faulty ledger that frees a claim without an outcome after a lease time."""

    def _apply_claim(self, fact, time):
        entry = self._entries.get(fact.claim_key)
        if (
            entry
            and entry.state is RequestClaimState.PENDING
            and time - entry.time >= 50.0
        ):
            entry.state = RequestClaimState.NOT_RUN
        return super()._apply_claim(fact, time)


class OutcomeOfAnyClaimant(RequestClaimLedger):
    """A faulty ledger that applies an outcome of a claimant that didn't win."""

    def _apply_outcome(self, fact, time):
        if fact.claim_key in self._entries:
            self._entries[fact.claim_key].claimant = fact.claimant
        return super()._apply_outcome(fact, time)


class UnknownFreesKey(RequestClaimLedger):
    """A faulty ledger that frees the key after the outcome ``unknown``."""

    def _apply_outcome(self, fact, time):
        outcome = super()._apply_outcome(fact, time)
        entry = self._entries.get(fact.claim_key)
        if entry and entry.state is RequestClaimState.UNKNOWN:
            entry.state = RequestClaimState.NOT_RUN
        return outcome


class ClaimsWithoutIssueTime(RequestClaimLedger):
    """A faulty ledger that takes an expired key for a new one."""

    def verdict(self, claim_key, claimant, fingerprint, issued_at=None):
        return super().verdict(claim_key, claimant, fingerprint)


@params(
    LastClaimWins,
    ClaimsWithLeases,
    OutcomeOfAnyClaimant,
    UnknownFreesKey,
    ClaimsWithoutIssueTime,
)
def test_search_finds_a_violation_with_each_faulty_ledger(ledger_class):
    """The search finds a violation with each of the faulty ledgers."""
    assert_violation_found(lambda: check_claims(ledger_class, SEARCH_SETTINGS))
