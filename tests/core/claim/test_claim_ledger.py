from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.claim.claim_ledger import ENDED_LIMIT, ClaimLedger
from knapweeddrum.core.claim.claim_windows import ClaimWindows
from knapweeddrum.core.fold.fold_outcome import FoldOutcome
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome
from tests.core.records import RecordWriter

KEY = "org/book/1"
DAY = 24 * 3600.0


def claimed(
    *facts: RequestClaim | RequestClaimOutcome, **windows
) -> tuple[ClaimLedger, RecordWriter]:
    """Return a ledger in which ``c1`` won the key and ``facts`` were applied then."""
    ledger = ClaimLedger(ClaimWindows(**windows))
    log = RecordWriter(ledger)
    log.append(RequestClaim(KEY, "c1", "print"), *facts)
    return ledger, log


def outcome(claimant: str, state: str, body: bytes = b"") -> RequestClaimOutcome:
    return RequestClaimOutcome(KEY, claimant, state, 201, "text/plain", body)


def test_first_claim_wins():
    """Only the first claimant gets WON; another request with the key is a mismatch."""
    ledger, log = claimed(RequestClaim(KEY, "c2", "print"))
    (other,) = log.append(RequestClaim(KEY, "c3", "other"))
    assert other.outcome is FoldOutcome.MISMATCH
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.WON
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.PENDING
    assert ledger.verdict(KEY, "c3", "other").verdict is ClaimVerdict.MISMATCH


def test_not_run_is_final_for_its_claimant():
    """After ``not_run`` another claimant may win, but the same one never again."""
    ledger, log = claimed(outcome("c1", "not_run"), RequestClaim(KEY, "c1", "print"))
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.NOT_RUN
    log.append(RequestClaim(KEY, "c2", "print"), outcome("c1", "done", b"late"))
    assert ledger.verdict(KEY, "c1", "print").verdict is ClaimVerdict.NOT_RUN
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.WON
    log.append(outcome("c2", "not_run"), RequestClaim(KEY, "c1", "print"))
    log.append(RequestClaim(KEY, "c3", "print"))
    assert ledger.verdict(KEY, "c3", "print").verdict is ClaimVerdict.WON


def test_key_that_is_given_up_too_often_is_closed():
    """Claims after ENDED_LIMIT are rejected, so that retries don't grow the state."""
    ledger, log = claimed(outcome("c1", "not_run"))
    for number in range(2, ENDED_LIMIT + 2):
        claimant = f"c{number}"
        log.append(RequestClaim(KEY, claimant, "print"), outcome(claimant, "not_run"))
    assert ledger.verdict(KEY, claimant, "print").verdict is ClaimVerdict.NOT_RUN
    (verdict,) = log.append(RequestClaim(KEY, "late", "print"))
    assert verdict.outcome is FoldOutcome.REJECTED


@params("done", "unknown")
def test_outcome_after_dispatch_is_final(state):
    """No later fact changes the outcome ``done`` or ``unknown`` or frees the key."""
    ledger, log = claimed(outcome("c1", state))
    late = ("not_run", "unknown", "done")
    log.append(
        RequestClaim(KEY, "c2", "print"), *(outcome("c1", name) for name in late)
    )
    assert ledger.verdict(KEY, "c2", "print").verdict.value == state


def test_body_goes_before_the_claim():
    """A body that is too large or past its window is reported as not kept."""
    ledger, log = claimed(outcome("c1", "done", b"lot 7"), body=60.0)
    reply = ledger.verdict(KEY, "c2", "print")
    assert (reply.status, reply.body, reply.body_kept) == (201, b"lot 7", True)
    log.append(RequestClaim("other", "c2", "print"), time=61.0)
    reply = ledger.verdict(KEY, "c2", "print")
    assert (reply.verdict, reply.body_kept) == (ClaimVerdict.DONE, False)
    ledger, _ = claimed(outcome("c1", "done", b"lot 7"), body_limit=4)
    assert not ledger.verdict(KEY, "c2", "print").body_kept


def test_old_key_is_expired_and_unresolved_claims_stay():
    """Keys issued before the window are expired; unresolved claims are kept longer."""
    ledger, log = claimed(RequestClaim("done", "c1", "print"))
    log.append(RequestClaimOutcome("done", "c1", "done"))
    log.append(RequestClaim("new", "c1", "print"), time=2 * DAY)
    assert ledger.verdict("done", "c2", "print", 0.0).verdict is ClaimVerdict.EXPIRED
    assert ledger.verdict(KEY, "c2", "print").verdict is ClaimVerdict.PENDING
    assert ledger.verdict(KEY, "c1", "print", 0.0).verdict is ClaimVerdict.EXPIRED
    (late,) = log.append(
        RequestClaim("done", "c3", "print", issued_at=1.0), time=2 * DAY
    )
    assert late.outcome is FoldOutcome.REJECTED
