"""Prepaid token accounts of all organisations at one host."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from knapweeddrum.core.prepaid.spending_limits import SpendingLimits
from knapweeddrum.core.prepaid.token_account import TokenAccount
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.core.prepaid.token_claim_planner import (
    TokenClaimInputs,
    TokenClaimPlanner,
    is_low,
    reserve_scale,
)
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.core.prepaid.unresolved_claim_write import UnresolvedClaimWrite
from knapweeddrum.message.call.spending_record import SpendingLimit, SpendingRecord


class TokenAccounts:
    """Reserves tokens from confirmed claims and plans the next claims.

    The claims of one incarnation are written by one task, one write at a time, each on
    condition that the log ends at ``ledger.end``. ``now`` is in monotonic seconds.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.ledger = TokenClaimLedger()
        self._planner = TokenClaimPlanner()
        self._accounts: dict[str, TokenAccount] = {}
        self._spending = SpendingLimits()
        self._prepaid: dict[str, int] = {}
        self._writes_before_plan: dict[str, UnresolvedClaimWrite | None] = {}
        """Unresolved writes before the last plan, restored if it is not written."""

    def set_prepaid(self, prepaid: Mapping[str, int]) -> None:
        """Set the prepaid tokens of each organisation, as configured."""
        self._prepaid = dict(prepaid)

    def prepaid(self, organisation: str) -> int:
        """Return the tokens that an organisation has paid in advance."""
        return self._prepaid.get(organisation, 0)

    def prepaid_organisations(self) -> list[str]:
        """Return the organisations that pay in advance, by name."""
        return sorted(self._prepaid)

    def is_prepaid(self, organisation: str) -> bool:
        """Return whether an organisation pays in advance."""
        return organisation in self._prepaid

    def account(self, organisation: str, now: float) -> TokenAccount:
        """Return the account of an organisation, created on first use."""
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = TokenAccount(now)
        account.spending_limit = self._spending.limit(organisation, now)
        return account

    def max_reservable(self, organisation: str, now: float) -> int:
        """Return what this host could reserve if it claimed all unclaimed tokens."""
        account = self.account(organisation, now)
        unclaimed = self._prepaid.get(organisation, 0) - self.ledger.claimed(
            organisation
        )
        return unclaimed + account.confirmed + account.borrowed_tokens - account.used

    def other_holders(self, organisation: str) -> list[str]:
        """Return the other incarnations that hold free tokens, most first."""
        return [
            name
            for name in self.ledger.holders_by_free_tokens(organisation)
            if name != self.incarnation
        ]

    def active_organisations(self) -> list[str]:
        """Return the organisations that this host has an account for, by name."""
        return sorted(self._accounts)

    def plenty(self, organisation: str, now: float) -> float:
        """Return the factor, 0 to 1, on what hosts hold ahead of demand."""
        prepaid = self._prepaid.get(organisation, 0)
        return reserve_scale(self.max_reservable(organisation, now) / max(1, prepaid))

    def refusal_verdict(
        self, organisation: str, tokens: int, outstanding: int = 0
    ) -> TokenVerdict:
        """Return why ``tokens`` can't be reserved; the ledger must be up to date.

        ``outstanding`` tokens were lent and may come back.
        """
        committed = self._committed_by_all(organisation) - outstanding
        if committed + tokens > self._prepaid.get(organisation, 0):
            return TokenVerdict.EXHAUSTED
        return TokenVerdict.HELD_ELSEWHERE

    def plan_claims(
        self,
        waiting: Mapping[str, Sequence[int]],
        owned: Collection[str],
        now: float,
        witnesses: Sequence[str] = (),
        holds_start_reserve: bool = False,
        silent_witnesses: Collection[str] = (),
    ) -> list[TokenClaim]:
        """Return the claims to write; a lowered claim limits this process at once.

        ``waiting`` holds the tokens of each waiting request, in order, ``owned`` the
        organisations for which this host holds a reserve, and ``witnesses`` the
        incarnations that may be named as witness, the best first, of which
        ``silent_witnesses`` did not answer lately. With
        ``holds_start_reserve`` it also holds some for those without a request so far.
        """
        claims = []
        self._writes_before_plan.clear()
        host_largest_request = max(
            (account.largest_request for account in self._accounts.values()), default=0
        )
        for organisation in sorted(self._prepaid):
            if not self._may_need_claim(organisation, waiting, owned):
                continue
            account = self.account(organisation, now)
            prepaid = self._prepaid[organisation]
            max_reservable = self.max_reservable(organisation, now)
            inputs = TokenClaimInputs(
                prepaid=prepaid,
                claimed_by_all=self.ledger.claimed(organisation),
                waiting_tokens=_fitting_tokens(
                    waiting.get(organisation, ()), max_reservable
                ),
                holds_reserve=organisation in owned,
                holds_start_reserve=holds_start_reserve,
                host_largest_request=host_largest_request,
            )
            account.intended = self._planner.plan(account, inputs, now)
            is_short = inputs.waiting_tokens > account.free
            silent = silent_witnesses if is_short else ()
            witness = account.choose_witness(witnesses, silent)
            if (
                account.intended != account.confirmed
                or (account.confirmed and account.witness != witness)
                or self._must_publish_committed(organisation, account, max_reservable)
            ):
                limit = account.next_unlocked_limit(inputs.waiting_tokens, now)
                claims.append(
                    self._prepare_write(organisation, account, witness, limit)
                )
        return claims

    def plan_return(self, now: float) -> list[TokenClaim]:
        """Return claims that give up all tokens that are not committed."""
        claims = []
        self._writes_before_plan.clear()
        for organisation, account in sorted(self._accounts.items()):
            account.intended = account.committed
            if account.intended != account.confirmed:
                claims.append(
                    self._prepare_write(
                        organisation, account, account.witness, account.unlocked
                    )
                )
        return claims

    def apply_ledger(self) -> None:
        """Update the accounts from this incarnation's claims in the ledger.

        A claim that names a witness unlocks nothing before the witness consents: the
        claim could get lost with this host if the store came back from an older copy.
        """
        for organisation, account in self._accounts.items():
            if (
                account.unresolved_write
                and self.ledger.end > account.unresolved_write.expected_end
            ):
                account.unresolved_write = None
            own = self.ledger.claim_of(organisation, self.incarnation)
            account.confirmed = own.claimed if own is not None else 0
            account.witness = own.witness if own is not None else ""
            if own is not None and not own.witness:
                account.unlocked = max(account.unlocked, own.unlocked)

    def adopt(self, ledger: TokenClaimLedger) -> None:
        """Replace what is known of all claims."""
        self.ledger = ledger
        self.apply_ledger()

    def record_not_written(self) -> None:
        """Record that the claims planned last were not and won't be written."""
        for organisation, unresolved_write in self._writes_before_plan.items():
            self._accounts[organisation].unresolved_write = unresolved_write
        self._writes_before_plan.clear()

    def may_unlock(self, organisation: str, now: float) -> bool:
        """Return whether the witness may be asked to unlock more."""
        account = self.account(organisation, now)
        return (
            bool(account.witness)
            and (account.locked > 0 or account.needs_introduction)
            and not account.is_replacing_witness
        )

    def organisations_to_unlock(self, now: float) -> list[str]:
        """Return the organisations that need tokens unlocked ahead of demand."""
        return [
            organisation
            for organisation, account in sorted(self._accounts.items())
            if account.needs_unlocking(now) and self.may_unlock(organisation, now)
        ]

    def record_consent(
        self, organisation: str, witness: str, limit: int, now: float
    ) -> None:
        """Record a witness's consent; that of a replaced witness is ignored."""
        account = self.account(organisation, now)
        account.introduced_witness = witness
        if account.witness == witness and self.may_unlock(organisation, now):
            account.unlocked = max(account.unlocked, limit)

    def record_refusal(self, organisation: str, witness: str, now: float) -> None:
        """Record that a witness refuses to unlock more."""
        self.account(organisation, now).refusing_witnesses.add(witness)

    def record_witness_leave(self, witness: str, released: Collection[str]) -> None:
        """Record that a witness stops and releases nothing from now on.

        ``released`` names the organisations of which it has released this host's
        claim; the other claims that name the witness become wholly unlocked.
        """
        for organisation, account in self._accounts.items():
            if organisation in released or account.witness != witness:
                continue
            if not account.is_replacing_witness:
                account.unlocked = max(account.unlocked, account.confirmed)

    def next_spending_limits(
        self, wanted: Mapping[str, int], now: float
    ) -> tuple[SpendingLimit, ...]:
        """Return the limits to write, with ``wanted`` tokens beside the usual."""
        return tuple(
            SpendingLimit(
                organisation,
                account.next_spending_limit(wanted.get(organisation, 0), now),
                account.spending_rate(now),
            )
            for organisation, account in sorted(self._accounts.items())
            if account.confirmed
        )

    def begin_spending_record(self, record: SpendingRecord, now: float) -> None:
        """Keep to a record that is about to be sent."""
        self._spending.begin(record, now)
        self._apply_spending_limits(now)

    def confirm_spending_record(self, number: int, now: float) -> None:
        """Record that a record is written; those before bind no more."""
        self._spending.confirm(number)
        self._apply_spending_limits(now)

    def discard_spending_record(self, number: int, now: float) -> None:
        """Record that a record was not written and never will be."""
        self._spending.discard(number)
        self._apply_spending_limits(now)

    def _apply_spending_limits(self, now: float) -> None:
        for organisation, account in self._accounts.items():
            account.spending_limit = self._spending.limit(organisation, now)

    def _may_need_claim(
        self,
        organisation: str,
        waiting: Mapping[str, Sequence[int]],
        owned: Collection[str],
    ) -> bool:
        if organisation in owned or organisation in waiting:
            return True
        account = self._accounts.get(organisation)
        return account is not None and account.confirmed > 0

    def _committed_by_all(self, organisation: str) -> int:
        """Return the tokens that all hosts have spent, reserved or lent.

        What this host has committed since its last claim is counted.
        """
        committed = self.ledger.committed(organisation)
        account = self._accounts.get(organisation)
        own = self.ledger.claim_of(organisation, self.incarnation)
        if account is None:
            return committed
        return committed - (own.committed if own else 0) + account.committed

    def _must_publish_committed(
        self, organisation: str, account: TokenAccount, max_reservable: int
    ) -> bool:
        """Return whether to write a claim only to tell other hosts what was spent.

        With few tokens left, they can't tell from an old claim how many are left.
        """
        own = self.ledger.claim_of(organisation, self.incarnation)
        known = own.committed if own is not None else 0
        return known < account.committed and is_low(
            max_reservable, self._prepaid[organisation]
        )

    def _prepare_write(
        self, organisation: str, account: TokenAccount, witness: str, limit: int
    ) -> TokenClaim:
        """Return the claim of ``account.intended``; its write counts as unresolved."""
        claimed = account.intended
        unlocked = min(claimed, limit) if witness else claimed
        self._writes_before_plan[organisation] = account.unresolved_write
        unresolved_write = account.unresolved_write
        if unresolved_write is None or unresolved_write.expected_end < self.ledger.end:
            unresolved_write = UnresolvedClaimWrite(self.ledger.end, claimed, False)
        account.unresolved_write = unresolved_write.with_write(
            claimed, witness != account.witness
        )
        return TokenClaim(
            organisation=organisation,
            incarnation=self.incarnation,
            claimed=claimed,
            committed=account.committed,
            unlocked=unlocked,
            witness=witness,
        )


def _fitting_tokens(waiting: Sequence[int], max_reservable: int) -> int:
    """Return the tokens of the requests that fit, taken in order."""
    total = 0
    for tokens in waiting:
        if total + tokens <= max_reservable:
            total += tokens
    return total
