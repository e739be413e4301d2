"""The unspent slices of grants that one process holds."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.budget.exceptions import ReservationError
from knapweeddrum.core.budget.request_usage import RequestUsage
from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.message.fact.charge import Charge


class AllowancePool:
    """Free and reserved tokens of a process, by budget and grant.

    Tokens leave the pool only by ``settle``, ``withdraw`` or ``withdraw_all``. Each of
    them debits the pool before the caller can send a message about the tokens. A
    process withdraws tokens to hand them to another process or to return them to the
    balance of their budget.
    """

    def __init__(self, settler: str) -> None:
        """``settler`` is the incarnation of the process.

        The settler field of a settlement is this incarnation and the reservation
        number.
        """
        self._settler = settler
        self._free: dict[str, dict[str, int]] = {}
        self._reservations: dict[int, Reservation] = {}
        self._credited: set[str] = set()
        self._next_number = 0

    def credit(self, credit_id: str, allowances: Iterable[Allowance]) -> bool:
        """Add slices once for each ``credit_id``; False if it was credited before."""
        if credit_id in self._credited:
            return False
        self._credited.add(credit_id)
        for allowance in allowances:
            self._add(allowance)
        return True

    def forget(self, credit_id: str) -> None:
        """Forget the identifier of a credit that can't be repeated any more."""
        self._credited.discard(credit_id)

    def free(self, budget: str) -> int:
        """Return the tokens of a budget that are neither reserved nor spent."""
        return sum(self._free.get(budget, {}).values())

    def reserved(self, budget: str) -> int:
        """Return the tokens of a budget in open reservations."""
        open_reservations = self._reservations.values()
        return sum(r.tokens for r in open_reservations if r.budget == budget)

    def budgets(self) -> tuple[str, ...]:
        """Return the budgets with free tokens, sorted."""
        return tuple(sorted(self._free))

    def reserve(self, budget: str, tokens: int) -> Reservation | None:
        """Set tokens of a budget aside; None if fewer are free or ``tokens`` is 0."""
        if tokens <= 0 or self.free(budget) < tokens:
            return None
        slices = self.withdraw(budget, tokens)
        reservation = Reservation(self._next_number, budget, slices)
        self._next_number += 1
        self._reservations[reservation.number] = reservation
        return reservation

    def cancel(self, reservation: Reservation) -> None:
        """Free a reservation of a request that never ran.

        Raises ReservationError if the reservation is not open.
        """
        self._close(reservation)
        for entry in reservation.slices:
            self._add(entry)

    def settle(self, reservation: Reservation, figures: RequestUsage) -> Settlement:
        """Charge what a request consumed and free the rest of its reservation.

        Consumption above the reservation is charged to free slices first. Tokens that
        no slice covers are added to the charge on the first grant, where the ledger
        counts them as excess. Raises ReservationError if the reservation is not open.
        """
        self._close(reservation)
        charges, left = self._charge(reservation, figures.tokens)
        if left:
            charges += self.withdraw(reservation.budget, left)
            left = figures.tokens - sum(entry.tokens for entry in charges)
        first = charges[0] if charges else reservation.slices[0]
        first_tokens = (first.tokens if charges else 0) + left
        further = tuple(Charge(c.grant_id, c.tokens) for c in charges[1:])
        return Settlement(
            request_key=figures.request_key,
            run_id=figures.run_id,
            budget=reservation.budget,
            grant_id=first.grant_id,
            tokens=first_tokens,
            outcome=figures.outcome,
            settler=f"{self._settler}/{reservation.number}",
            further=further,
            abandoned=figures.abandoned,
        )

    def withdraw(self, budget: str, tokens: int) -> tuple[Allowance, ...]:
        """Take up to ``tokens`` free tokens of a budget out of the pool.

        The oldest slice that covers them all is used, otherwise the oldest first.
        """
        grants = self._free.get(budget, {})
        single = [grant_id for grant_id, free in grants.items() if free >= tokens]
        order = single[:1] or list(grants)
        withdrawn = []
        for grant_id in order:
            wanted = min(tokens, grants[grant_id])
            if wanted <= 0:
                break
            withdrawn.append(self._remove(budget, grant_id, wanted))
            tokens -= wanted
        return tuple(withdrawn)

    def withdraw_all(self) -> tuple[Allowance, ...]:
        """Take all free slices out of the pool, sorted by budget and grant."""
        slices = [
            Allowance(budget=budget, grant_id=grant_id, tokens=tokens)
            for budget, grants in sorted(self._free.items())
            for grant_id, tokens in sorted(grants.items())
        ]
        self._free.clear()
        return tuple(slices)

    def _charge(
        self, reservation: Reservation, used: int
    ) -> tuple[tuple[Allowance, ...], int]:
        charges = []
        for entry in reservation.slices:
            tokens = min(used, entry.tokens)
            used -= tokens
            if tokens:
                charges.append(Allowance(entry.budget, entry.grant_id, tokens))
            if tokens < entry.tokens:
                rest = entry.tokens - tokens
                self._add(Allowance(entry.budget, entry.grant_id, rest))
        return tuple(charges), used

    def _add(self, allowance: Allowance) -> None:
        if allowance.tokens <= 0:
            return
        grants = self._free.setdefault(allowance.budget, {})
        grants[allowance.grant_id] = (
            grants.get(allowance.grant_id, 0) + allowance.tokens
        )

    def _remove(self, budget: str, grant_id: str, tokens: int) -> Allowance:
        grants = self._free[budget]
        grants[grant_id] -= tokens
        if not grants[grant_id]:
            del grants[grant_id]
        if not grants:
            del self._free[budget]
        return Allowance(budget=budget, grant_id=grant_id, tokens=tokens)

    def _close(self, reservation: Reservation) -> None:
        if self._reservations.pop(reservation.number, None) is None:
            raise ReservationError(f"reservation {reservation.number} is not open")
