from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from tests.core.prepaid.claim_stream import ClaimStream

PREPAID = 10_000
HOSTS = 3
OWNED = frozenset({"mill"})
"""Each host believes that it is the owner, as hosts may disagree."""


class Host:
    """A host that claims, reserves and spends, as its process would."""

    def __init__(self, name: str, log: ClaimStream) -> None:
        self.log = log
        self.token_accounts = TokenAccounts(name)
        self.token_accounts.set_prepaid({"mill": PREPAID})
        self.claim_witness = ClaimWitness(name)
        self.reserved: list[int] = []
        self.spent = 0
        self.read()

    def read(self) -> None:
        self.log.apply_to(self.token_accounts)

    def reserve(self, tokens: int, now: float) -> bool:
        account = self.token_accounts.account("mill", now)
        account.record_demand(tokens, now)
        if not account.reserve(tokens):
            return False
        self.reserved.append(tokens)
        return True

    def request_consent(
        self, others: list[Host], tokens: int, now: float
    ) -> Callable[[], None]:
        """Ask the witness for consent; the returned function records its answer."""
        account = self.token_accounts.account("mill", now)
        names = [other.token_accounts.incarnation for other in others]
        if (
            not self.token_accounts.may_unlock("mill", now)
            or account.witness not in names
        ):
            return lambda: None
        name = account.witness
        witness = others[names.index(name)].claim_witness
        limit = min(account.claimed, account.next_unlocked_limit(tokens, now))
        if witness.unlock(self.token_accounts.incarnation, "mill", limit):
            return lambda: self.token_accounts.record_consent("mill", name, limit, now)
        return lambda: self.token_accounts.record_refusal("mill", name, now)

    def release_claims(self) -> list[TokenClaim]:
        """Release the locked claims that name this host as witness."""
        claims = self.token_accounts.ledger.locked_claims_of(
            self.token_accounts.incarnation
        )
        return [rest for c in claims if (rest := self.claim_witness.release(c))]

    def reserve_all(self, now: float) -> None:
        """Reserve the free tokens, then claim what is unclaimed and reserve that."""
        account = self.token_accounts.account("mill", now)
        self.reserve(max(0, account.free), now)
        self.read()
        max_reservable = self.token_accounts.max_reservable("mill", now)
        if max_reservable > 0:
            claims = self.token_accounts.plan_claims(
                {"mill": [max_reservable]}, OWNED, now
            )
            self.log.append(claims, self.token_accounts.ledger.end)
            self.read()
            self.reserve(max(0, account.free), now)

    def settle(self, spent_share: float, now: float) -> None:
        if self.reserved:
            tokens = self.reserved.pop()
            spent = int(tokens * spent_share)
            self.token_accounts.account("mill", now).settle(tokens, spent)
            self.spent += spent

    @property
    def committed(self) -> int:
        return self.spent + sum(self.reserved)


steps = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "write",
                "refuse",
                "lose_reply",
                "late",
                "read",
                "reserve",
                "settle",
                "kill",
                "lend",
                "lose_loan",
                "unlock",
                "lose_consent",
                "late_consent",
                "release",
                "late_release",
                "leave",
            ]
        ),
        st.integers(0, HOSTS - 1),
        st.integers(1, 3_000),
    ),
    min_size=12,
    max_size=80,
)


@given(steps)
def test_no_order_of_failures_spends_more_than_was_paid(actions):
    """Lost replies, late writes, conflicts and kills never cause an overspend.

    Nor does a witness that releases the claims of a holder that is alive.
    """
    log = ClaimStream()
    hosts = [Host(f"host-{number}", log) for number in range(HOSTS)]
    committed_by_killed = 0
    late_writes: list[tuple[list[TokenClaim], int]] = []
    late_consents: list[Callable[[], None]] = []
    for now, (action, index, tokens) in enumerate(actions):
        host = hosts[index]
        others = [hosts[(index + step) % HOSTS] for step in (1, 2)]
        if tokens % 2:
            others.reverse()
        if action == "read":
            host.read()
        elif action == "reserve":
            host.reserve(tokens, now)
        elif action == "settle":
            host.settle(tokens / 3_000, now)
        elif action in ("lend", "lose_loan"):
            account = host.token_accounts.account("mill", now)
            loan = account.lend(tokens // 2, tokens)
            if action == "lend":
                borrower = hosts[(index + 1) % HOSTS]
                borrower.token_accounts.account("mill", now).credit_loan(loan)
        elif action == "kill":
            committed_by_killed += host.committed
            hosts[index] = Host(f"host-{index}-{now}", log)
        elif action in ("unlock", "lose_consent", "late_consent"):
            consent = host.request_consent(others, tokens, now)
            if action == "unlock":
                consent()
            elif action == "late_consent":
                late_consents.append(consent)
        elif action in ("release", "late_release"):
            host.read()
            released = host.release_claims()
            if action == "late_release":
                late_writes.append((released, host.token_accounts.ledger.end))
            else:
                log.append(released, host.token_accounts.ledger.end)
        elif action == "leave":
            host.claim_witness.stop_releasing()
            for other in others:
                released_organisations = host.claim_witness.released_organisations(
                    other.token_accounts.incarnation
                )
                other.token_accounts.record_witness_leave(
                    host.token_accounts.incarnation, released_organisations
                )
        else:
            at = host.token_accounts.ledger.end
            names = [other.token_accounts.incarnation for other in others]
            claims = host.token_accounts.plan_claims(
                {"mill": [tokens]}, OWNED, now, names
            )
            if action == "late":
                late_writes.append((claims, at))
            elif action == "refuse":
                host.token_accounts.record_not_written()
            elif log.append(claims, at) and action == "write":
                host.read()
        if late_writes and tokens % 3 == 0:
            log.append(*late_writes.pop())
        if late_consents and tokens % 5 == 0:
            late_consents.pop()()
        assert committed_by_killed + sum(host.committed for host in hosts) <= PREPAID
    for host in hosts * 2:
        host.reserve_all(float(len(actions)))
        assert committed_by_killed + sum(host.committed for host in hosts) <= PREPAID


def holder_and_witness(log: ClaimStream) -> tuple[Host, Host]:
    """Return a host whose claim is partly unlocked, and its witness."""
    holder, witness = Host("host-1", log), Host("host-2", log)
    holder.reserve(900, 0.0)
    log.append(holder.token_accounts.plan_claims({}, OWNED, 1.0, ["host-2"]), 0)
    holder.read()
    witness.read()
    account = holder.token_accounts.account("mill", 1.0)
    assert account.witness == "host-2"
    assert account.free == 0
    holder.request_consent([witness], 900, 1.0)()
    assert account.locked > account.free > 0
    return holder, witness


def test_witness_releases_locked_tokens_of_a_killed_holder():
    """Only what was unlocked ahead of demand is lost with a killed host."""
    log = ClaimStream()
    holder, witness = holder_and_witness(log)
    claimed = holder.token_accounts.account("mill", 1.0).claimed
    holder.request_consent([witness], 400, 1.0)()
    assert holder.reserve(400, 1.0)
    log.append(witness.release_claims(), len(log.records))
    witness.read()
    left = witness.token_accounts.ledger.claimed("mill")
    account = holder.token_accounts.account("mill", 1.0)
    assert account.used <= left <= account.used + 900
    assert left < claimed
    assert witness.release_claims() == []


def test_released_holder_keeps_unlocked_tokens_and_changes_witness():
    """A holder that was only cut off keeps what was unlocked, and goes on."""
    log = ClaimStream()
    holder, witness = holder_and_witness(log)
    log.append(witness.release_claims(), len(log.records))
    holder.request_consent([witness], 2_000, 1.0)()
    assert not holder.reserve(2_000, 1.0)
    holder.read()
    claims = holder.token_accounts.plan_claims(
        {"mill": [2_000]}, OWNED, 1.0, ["host-2", "host-3"]
    )
    assert [claim.witness for claim in claims] == ["host-3"]
    log.append(claims, len(log.records))
    holder.read()
    holder.request_consent([Host("host-3", log)], 2_000, 1.0)()
    assert holder.reserve(2_000, 1.0)


def test_consent_of_a_replaced_witness_is_ignored():
    """Neither a late consent nor a leave unlocks what the new witness may release."""
    log = ClaimStream()
    holder, witness = holder_and_witness(log)
    account = holder.token_accounts.account("mill", 1.0)
    consent = holder.request_consent([witness], 2_000, 1.0)
    unlocked = account.unlocked
    claims = holder.token_accounts.plan_claims({}, OWNED, 1.0, ["host-3"])
    assert [claim.witness for claim in claims] == ["host-3"]
    consent()
    holder.token_accounts.record_witness_leave("host-2", [])
    assert account.unlocked == unlocked
    assert not holder.token_accounts.may_unlock("mill", 1.0)
    log.append(claims, len(log.records))
    holder.read()
    consent()
    holder.token_accounts.record_witness_leave("host-2", [])
    assert account.unlocked == unlocked
    assert holder.token_accounts.may_unlock("mill", 1.0)


def test_rejected_write_leaves_the_witness_in_place():
    """After a write was rejected, the present witness may be asked again."""
    log = ClaimStream()
    holder, witness = holder_and_witness(log)
    holder.token_accounts.plan_claims({}, OWNED, 1.0, ["host-3"])
    assert not holder.token_accounts.may_unlock("mill", 1.0)
    holder.token_accounts.record_not_written()
    assert holder.token_accounts.may_unlock("mill", 1.0)


def test_unresolved_write_does_not_hide_a_later_one():
    """A write that the log has grown past is replaced by a later unresolved write.

    The accounts have not applied the ledger when the later write is planned.
    """
    log = ClaimStream()
    host = Host("host-1", log)
    log.append(host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 0.0), 0)
    host.read()
    host.token_accounts.plan_claims({"mill": [5_000]}, OWNED, 0.0)
    other = Host("host-2", log)
    log.append(other.token_accounts.plan_claims({"mill": [100]}, OWNED, 0.0), 1)
    host.token_accounts.ledger.apply(1, log.records[1])
    host.token_accounts.ledger.advance(2)
    late = host.token_accounts.plan_return(1.0)
    host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 1.0)
    host.read()
    assert not host.reserve(4_000, 1.0)
    assert log.append(late, 2)


def test_reserve_beyond_a_lowered_amount_is_returned():
    """When less is prepaid than is claimed, hosts keep what they spent and no more."""
    log = ClaimStream()
    hosts = [Host(f"host-{number}", log) for number in range(HOSTS)]
    for host in hosts:
        host.read()
        host.reserve(900, 0.0)
        log.append(
            host.token_accounts.plan_claims({"mill": [900]}, OWNED, 0.0),
            len(log.records),
        )
        host.read()
        assert host.reserve(900, 0.0)
    for host in hosts:
        host.read()
        host.token_accounts.set_prepaid({"mill": 2_800})
        log.append(host.token_accounts.plan_claims({}, OWNED, 1.0), len(log.records))
    for host in hosts:
        host.read()
        host.reserve(101, 1.0)
    assert sum(host.committed for host in hosts) <= 2_800


def test_lowered_claim_that_may_be_written_late_limits_until_the_log_grows():
    """A claim that was to be lowered stays low, though the next plan wants more."""
    log = ClaimStream()
    host = Host("host-1", log)
    log.append(host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 0.0), 0)
    host.read()
    late = host.token_accounts.plan_return(1.0)
    host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 1.0)
    host.read()
    assert not host.reserve(4_000, 1.0)
    log.append(late, 1)
    host.read()
    log.append(host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 1.0), 2)
    host.read()
    assert host.reserve(4_000, 1.0)


def test_lender_keeps_half_but_lends_a_whole_shortfall():
    """A loan covers what the waiting request lacks, or all that is free."""
    host = Host("host-1", ClaimStream())
    host.log.append(host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 0.0), 0)
    host.read()
    account = host.token_accounts.account("mill", 0.0)
    free = account.free
    assert account.lend(100, 10 * free) == free // 2
    rest = account.free
    assert account.lend(rest, 10 * free) == rest
    assert account.free == 0
    assert account.lend(1, 10) == 0


def test_loans_of_several_hosts_add_up_to_one_request():
    """Tokens that are too few at each host serve a request once they are together."""
    log = ClaimStream()
    hosts = [Host(f"host-{number}", log) for number in range(HOSTS)]
    borrower, *lenders = hosts
    for lender in lenders:
        lender.read()
        log.append(
            lender.token_accounts.plan_claims({"mill": [1_000]}, OWNED, 0.0),
            len(log.records),
        )
        lender.read()
    frees = [lender.token_accounts.account("mill", 0.0).free for lender in lenders]
    account = borrower.token_accounts.account("mill", 0.0)
    wanted = sum(frees)
    assert all(free < wanted for free in frees)
    for lender in lenders:
        shortfall = wanted - account.free
        account.credit_loan(
            lender.token_accounts.account("mill", 0.0).lend(shortfall, shortfall)
        )
    assert account.reserve(wanted)
    assert [lender.token_accounts.account("mill", 0.0).free for lender in lenders] == [
        0
    ] * len(lenders)


def test_borrowed_tokens_are_spent_without_an_own_claim():
    """A loan raises what may be reserved; a return leaves borrowed tokens alone."""
    host = Host("host-1", ClaimStream())
    account = host.token_accounts.account("mill", 0.0)
    account.credit_loan(500)
    assert host.reserve(400, 0.0)
    assert not host.reserve(200, 0.0)
    assert account.committed == 0
    assert host.token_accounts.plan_return(1.0) == []


def test_lowered_claim_limits_spending_before_its_write_is_confirmed():
    """A host no longer spends tokens that it returns, though the reply is lost."""
    host = Host("host-1", ClaimStream())
    host.log.append(host.token_accounts.plan_claims({"mill": [4_000]}, OWNED, 0.0), 0)
    host.read()
    account = host.token_accounts.account("mill", 0.0)
    assert account.free >= 4_000
    host.token_accounts.plan_return(1.0)
    assert not host.reserve(1, 1.0)


def test_idle_host_holds_one_request_and_a_busy_one_its_demand():
    """An idle host holds tokens for one request, as all callers may move to it."""
    log = ClaimStream()
    busy, calm = Host("busy", log), Host("calm", log)
    for host in (busy, calm):
        host.token_accounts.set_prepaid({"mill": 1_000_000, "other": 1_000_000})
    owned = frozenset({"mill", "other"})
    for second in range(20):
        busy.token_accounts.account("mill", second).record_demand(1_000, second)
        calm.token_accounts.account("other", second).record_demand(1_000, second)
        for host in (busy, calm):
            host.read()
            waiting = {"mill": [1_000]} if host is busy else {"other": [1_000]}
            log.append(
                host.token_accounts.plan_claims(waiting, owned, second),
                host.token_accounts.ledger.end,
            )
            host.read()
            name = "mill" if host is busy else "other"
            host.token_accounts.account(name, second).reserve(1_000)
    assert 5_000 <= busy.token_accounts.account("mill", 20.0).free <= 15_000
    assert 500 <= calm.token_accounts.account("mill", 20.0).free <= 1_500


def test_host_holds_no_reserve_of_a_nearly_exhausted_budget():
    """The reserve is returned; EXHAUSTED (402) is distinct from HELD_ELSEWHERE."""
    log = ClaimStream()
    first, second = Host("first", log), Host("second", log)
    log.append(first.token_accounts.plan_claims({"mill": [9_500]}, OWNED, 0.0), 0)
    first.read()
    assert first.reserve(9_500, 0.0)
    first.settle(1.0, 0.0)
    first.read()
    log.append(
        first.token_accounts.plan_claims({}, OWNED, 1.0),
        first.token_accounts.ledger.end,
    )
    second.read()
    assert first.token_accounts.account("mill", 1.0).free < 0.06 * PREPAID
    assert second.token_accounts.refusal_verdict("mill", 600) is TokenVerdict.EXHAUSTED
    assert (
        second.token_accounts.refusal_verdict("mill", 400)
        is TokenVerdict.HELD_ELSEWHERE
    )


def served_share_in_outage(sync_hosts: bool) -> float:
    """Return the fraction of requests that three hosts serve without the store.

    The outage lasts nine seconds. With ``sync_hosts`` all hosts plan their claims once
    a second before the outage.
    """
    rng = random.Random(7)
    log = ClaimStream()
    hosts = [Host(f"host-{number}", log) for number in range(HOSTS)]
    for host in hosts:
        host.token_accounts.set_prepaid({"mill": 2_000_000})
    served = asked = 0
    for tick in range(300):
        now = tick / 10
        out = tick >= 210
        host = rng.choice(hosts)
        tokens = rng.choice([400, 900, 6_000])
        if out:
            asked += 1
            served += host.reserve(tokens, now)
            continue
        if not host.reserve(tokens, now):
            host.read()
            waiting = {"mill": [tokens]}
            log.append(
                host.token_accounts.plan_claims(waiting, OWNED, now),
                host.token_accounts.ledger.end,
            )
            host.read()
            host.reserve(tokens, now)
        host.settle(1.0, now)
        for other in hosts if tick % 10 == 0 and sync_hosts else ():
            other.read()
            log.append(
                other.token_accounts.plan_claims({}, OWNED, now),
                other.token_accounts.ledger.end,
            )
            other.read()
    return served / asked


def test_steady_demand_is_served_through_an_outage_of_nine_seconds():
    """The reserve of each host covers its own demand while the store is unreachable."""
    assert served_share_in_outage(sync_hosts=True) >= 0.85
    assert served_share_in_outage(sync_hosts=False) < served_share_in_outage(
        sync_hosts=True
    )
