from __future__ import annotations

from knapweeddrum.core.prepaid.claim_check_in import ClaimCheckIn, KnownConsent
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.value.store_position import store_position

HOSTS = ("a", "b", "c")


def ledger(era: int, end: int, **claimed: int) -> TokenClaimLedger:
    """Return claims on the tokens of "mill", one record after the other."""
    result = TokenClaimLedger()
    for offset, (incarnation, tokens) in enumerate(claimed.items(), start=1):
        claim = TokenClaim("mill", incarnation, tokens, 0, 0, "")
        result.apply(store_position(era, offset), claim)
    result.advance(store_position(era, end))
    return result


def lived(incarnation: str, *, is_fresh: bool = True) -> ClaimRecovery:
    """Return the recovery of a host that saw the store return to era 2."""
    recovery = ClaimRecovery(incarnation)
    recovery.enter_era(1)
    recovery.apply_opening(1)
    recovery.record_complete()
    others = [name for name in HOSTS if name != incarnation]
    recovery.begin_era(2, others, is_fresh=is_fresh)
    return recovery


def check_in(
    recovery: ClaimRecovery,
    known: TokenClaimLedger | None = None,
    consents: tuple[KnownConsent, ...] = (),
) -> ClaimCheckIn:
    """Return what a host tells when the copy has no claims."""
    return recovery.check_in(known or ledger(1, 9), ledger(2, 1), consents)


def test_era_stays_closed_while_two_hosts_are_missing():
    """One of them may have been the only witness of the other."""
    first, second = lived("a"), lived("b")
    for recovery in (first, second):
        recovery.apply_check_in(check_in(first))
    assert not first.may_open
    assert first.missing() == ["b", "c"]
    first.apply_check_in(check_in(second))
    assert first.may_open
    assert first.missing() == ["c"]


def test_host_that_was_cut_off_opens_only_if_none_is_missing():
    """Others may have left it out, and so claimed without a witness."""
    recovery = lived("a", is_fresh=False)
    recovery.apply_check_in(check_in(recovery))
    recovery.apply_check_in(check_in(lived("b", is_fresh=False)))
    assert not recovery.may_open
    recovery.apply_check_in(check_in(lived("c", is_fresh=False)))
    assert recovery.may_open


def test_successor_of_a_killed_host_is_not_waited_for_beside_it():
    """Neither can have been the other's witness."""
    recovery = lived("a")
    recovery.begin_era(2, ("c", "c/2"), is_fresh=True)
    recovery.apply_check_in(check_in(recovery))
    recovery.apply_check_in(check_in(lived("b")))
    assert recovery.missing() == ["c", "c/2"]
    assert recovery.may_open


def test_processes_that_all_started_since_open_nothing():
    """Not even if the copy is from before the first opening."""
    first, second = ClaimRecovery("a"), ClaimRecovery("b")
    for recovery in (first, second):
        recovery.enter_era(2)
    for recovery in (first, second):
        first.apply_check_in(check_in(recovery))
    assert not first.may_open


def test_first_start_opens_though_another_process_has_checked_in():
    """One that started again in the first moments says so, and knows nothing."""
    first, again = ClaimRecovery("a"), ClaimRecovery("b")
    for recovery in (first, again):
        recovery.enter_era(2)
    first.apply_check_in(check_in(again))
    assert first.may_open_first(has_claims=False, is_first_start=True)
    assert not first.may_open_first(has_claims=False, is_first_start=False)
    first.apply_check_in(check_in(lived("c")))
    assert not first.may_open_first(has_claims=False, is_first_start=True)


def test_host_that_left_is_not_waited_for():
    """A planned stop before the return closes nothing for long."""
    recovery = lived("a")
    recovery.apply_check_in(lived("b").leave())
    recovery.apply_check_in(check_in(recovery))
    assert recovery.missing() == ["c"]
    assert recovery.may_open


def test_claims_that_the_copy_lacks_are_recovered_from_whoever_knows_them():
    """The newest record of each claim counts, also one that was read, not written."""
    recovery = lived("a")
    recovery.apply_check_in(check_in(recovery, ledger(1, 9, a=100, c=300)))
    recovery.apply_check_in(check_in(lived("b"), ledger(1, 9, a=100, x=1, c=400)))
    claims = recovery.recovered_claims(ledger(2, 1))
    assert {c.incarnation: c.claimed for c in claims} == {"a": 100, "x": 1, "c": 400}


def test_consents_to_a_killed_host_are_claimed_for_it():
    """It may have spent what its witness allowed, beyond any claim that is known."""
    recovery = lived("a")
    consents = (KnownConsent("mill", "c", 700), KnownConsent("mill", "a", 900))
    recovery.apply_check_in(check_in(recovery))
    recovery.apply_check_in(check_in(lived("b"), None, consents))
    claims = recovery.recovered_claims(ledger(2, 1))
    assert [(c.incarnation, c.claimed, c.committed) for c in claims] == [
        ("c", 700, 700)
    ]


def test_witness_that_has_checked_in_consents_only_to_who_has_too():
    """What it told of a holder may be all that is claimed for that holder."""
    recovery = lived("a")
    assert recovery.may_consent("b", 1)
    own = check_in(recovery)
    assert not recovery.may_consent("b", 1)
    recovery.apply_check_in(own)
    recovery.apply_check_in(check_in(lived("b")))
    assert recovery.may_consent("b", 1)
    assert not recovery.may_consent("c", 1)
    recovery.apply_opening(2)
    assert not recovery.may_consent("c", 1)
    assert recovery.may_consent("c", 2)


def test_no_offset_of_the_earlier_era_is_given_out_again():
    """An append that was sent before the return would else meet its condition."""
    recovery = lived("a")
    recovery.apply_check_in(check_in(recovery, ledger(1, 50)))
    assert 10 + recovery.skipped_offsets(store_position(2, 10)) > 50


def test_process_that_starts_after_the_return_opens_nothing():
    """It knows no more than the copy."""
    recovery = ClaimRecovery("d")
    recovery.enter_era(2)
    assert not recovery.is_open
    assert not recovery.may_open
