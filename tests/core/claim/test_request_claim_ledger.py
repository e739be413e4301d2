from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.claim.request_claim_ledger import (
    MAX_NOT_RUN_CLAIMANTS,
    RequestClaimLedger,
)
from knapweeddrum.core.claim.request_claim_windows import RequestClaimWindows
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome
from tests.core.records import RecordWriter

KEY = "org/book/1"
DAY_SECONDS = 24 * 3600.0


def ledger_with_claim(
    *facts: RequestClaim | RequestClaimOutcome, **windows
) -> tuple[RequestClaimLedger, RecordWriter]:
    """Return a ledger in which ``c1`` won the key and ``facts`` were applied then."""
    ledger = RequestClaimLedger(RequestClaimWindows(**windows))
    log = RecordWriter(ledger)
    log.append(RequestClaim(KEY, "c1", "print"), *facts)
    return ledger, log


def outcome(claimant: str, state: str, body: bytes = b"") -> RequestClaimOutcome:
    return RequestClaimOutcome(KEY, claimant, state, 201, "text/plain", body)


def test_first_claim_wins():
    """Only the first claimant gets WON; another request with the key is a mismatch."""
    ledger, log = ledger_with_claim(RequestClaim(KEY, "c2", "print"))
    (other,) = log.append(RequestClaim(KEY, "c3", "other"))
    assert other.outcome is FactOutcome.MISMATCH
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.WON
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.PENDING
    assert ledger.verdict(KEY, "c3", "other").verdict is ClaimVerdict.MISMATCH


def test_claimant_that_ended_not_run_never_wins_again():
    """After ``not_run`` another claimant may win, but the same one never again."""
    ledger, log = ledger_with_claim(
        outcome("c1", "not_run"), RequestClaim(KEY, "c1", "print")
    )
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.NOT_RUN
    log.append(RequestClaim(KEY, "c2", "print"), outcome("c1", "done", b"late"))
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.NOT_RUN
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.WON
    log.append(outcome("c2", "not_run"), RequestClaim(KEY, "c1", "print"))
    log.append(RequestClaim(KEY, "c3", "print"))
    assert ledger.verdict(KEY, "c3", "print").verdict is ClaimVerdict.WON


def test_key_with_too_many_not_run_claimants_is_closed():
    """After MAX_NOT_RUN_CLAIMANTS no claim wins: retries don't grow the state."""
    ledger, log = ledger_with_claim(outcome("c1", "not_run"))
    for number in range(2, MAX_NOT_RUN_CLAIMANTS + 2):
        claimant = f"c{number}"
        log.append(RequestClaim(KEY, claimant, "print"), outcome(claimant, "not_run"))
    assert ledger.verdict(KEY, claimant, "print").verdict is ClaimVerdict.NOT_RUN
    (verdict,) = log.append(RequestClaim(KEY, "late", "print"))
    assert verdict.outcome is FactOutcome.REJECTED


@params("done", "unknown")
def test_outcome_after_dispatch_is_final(state):
    """No later fact changes the outcome ``done`` or ``unknown`` or frees the key."""
    ledger, log = ledger_with_claim(outcome("c1", state))
    late = ("not_run", "unknown", "done")
    log.append(
        RequestClaim(KEY, "c2", "print"), *(outcome("c1", name) for name in late)
    )
    assert ledger.verdict(KEY, "c2", "print").verdict.value == state


def test_answer_body_is_removed_before_the_claim():
    """A body that is too large or past its window is reported as not kept."""
    ledger, log = ledger_with_claim(outcome("c1", "done", b"lot 7"), body_seconds=60.0)
    reply = ledger.verdict(KEY, "c2", "print")
    assert (reply.status, reply.body, reply.body_kept) == (201, b"lot 7", True)
    log.append(RequestClaim("other", "c2", "print"), time=61.0)
    reply = ledger.verdict(KEY, "c2", "print")
    assert (reply.verdict, reply.body_kept) == (ClaimVerdict.DONE, False)
    ledger, _ = ledger_with_claim(outcome("c1", "done", b"lot 7"), max_body_bytes=4)
    assert not ledger.verdict(KEY, "c2", "print").body_kept


def test_old_key_expires_and_unresolved_claims_are_kept():
    """Keys issued before the window are expired; unresolved claims are kept longer."""
    ledger, log = ledger_with_claim(RequestClaim("done", "c1", "print"))
    log.append(RequestClaimOutcome("done", "c1", "done"))
    log.append(RequestClaim("new", "c1", "print"), time=2 * DAY_SECONDS)
    assert ledger.verdict("done", "c2", "print", 0.0).verdict is ClaimVerdict.EXPIRED
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.PENDING
    assert ledger.verdict(KEY, "c1", "print", 0.0).verdict is ClaimVerdict.EXPIRED
    (late,) = log.append(
        RequestClaim("done", "c3", "print", issued_at=1.0), time=2 * DAY_SECONDS
    )
    assert late.outcome is FactOutcome.REJECTED
