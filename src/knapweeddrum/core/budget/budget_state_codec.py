"""Conversion between the budget ledger and its encoded state."""

from __future__ import annotations

from collections.abc import Mapping

from knapweeddrum.core.budget.account import Account
from knapweeddrum.core.budget.billed_request import BilledRequest
from knapweeddrum.core.budget.budget_state import (
    AccountState,
    BilledState,
    BudgetState,
    GrantState,
    TopUpState,
)
from knapweeddrum.core.budget.grant_entry import GrantEntry
from knapweeddrum.core.budget.grant_table import GrantTable
from knapweeddrum.core.replay.state_codec import decode_state, encode_state


class BudgetStateCodec:
    """Encodes entries sorted by name or time, so that equal states give equal bytes."""

    @staticmethod
    def encode(
        accounts: Mapping[str, Account],
        grants: GrantTable,
        topups: Mapping[str, TopUpState],
        billed: Mapping[bytes, BilledRequest],
    ) -> bytes:
        """Return the encoded state."""
        state = BudgetState(
            accounts=tuple(_account_state(*item) for item in sorted(accounts.items())),
            grants=tuple(
                _grant_state(grant_id, entry, grants.closed_at(grant_id))
                for grant_id, entry in grants.entries()
            ),
            topups=tuple(sorted(topups.values(), key=_topup_order)),
            billed=tuple(
                sorted(
                    (_billed_state(*item) for item in billed.items()),
                    key=_billed_order,
                )
            ),
        )
        return encode_state(state)

    @staticmethod
    def decode(state: bytes) -> BudgetState:
        """Return the decoded state; raises StateError if it can't be decoded."""
        return decode_state(state, BudgetState)

    @staticmethod
    def accounts(state: BudgetState) -> dict[str, Account]:
        """Return the accounts by budget, without their grants."""
        return {
            entry.budget: Account(
                deposited=entry.deposited,
                balance=entry.balance,
                billed=entry.billed,
                duplicate=entry.duplicate,
                excess=entry.excess,
                bills=entry.bills,
            )
            for entry in state.accounts
        }

    @staticmethod
    def grants(state: BudgetState) -> GrantTable:
        """Return the grants, with closed ones in the order in which they closed."""
        table = GrantTable()
        closed = []
        for entry in state.grants:
            table.add(entry.grant_id, _grant_entry(entry))
            if entry.closed_at >= 0:
                closed.append((entry.closed_at, entry.grant_id))
        for closed_at, grant_id in sorted(closed):
            table.close(grant_id, closed_at)
        return table

    @staticmethod
    def billed(state: BudgetState) -> dict[bytes, BilledRequest]:
        """Return the billed requests by key digest, in the order of their times."""
        return {
            entry.key: BilledRequest(time=entry.time, packed_bills=entry.packed_bills)
            for entry in state.billed
        }


def _account_state(budget: str, account: Account) -> AccountState:
    return AccountState(
        budget=budget,
        deposited=account.deposited,
        balance=account.balance,
        billed=account.billed,
        duplicate=account.duplicate,
        excess=account.excess,
        bills=account.bills,
    )


def _grant_state(grant_id: str, entry: GrantEntry, closed_at: float) -> GrantState:
    return GrantState(
        grant_id=grant_id,
        budget=entry.budget,
        holder=entry.holder,
        witness=entry.witness,
        granted=entry.granted,
        remaining=entry.remaining,
        locked_returned=entry.locked_returned,
        released=entry.released,
        return_ids=tuple(sorted(entry.return_ids or ())),
        closed_at=closed_at,
    )


def _grant_entry(state: GrantState) -> GrantEntry:
    return GrantEntry(
        budget=state.budget,
        holder=state.holder,
        witness=state.witness,
        granted=state.granted,
        remaining=state.remaining,
        locked_returned=state.locked_returned,
        released=state.released,
        return_ids=dict.fromkeys(state.return_ids) or None,
    )


def _billed_state(key: bytes, billed: BilledRequest) -> BilledState:
    return BilledState(time=billed.time, key=key, packed_bills=billed.packed_bills)


def _topup_order(entry: TopUpState) -> tuple[float, str]:
    return (entry.time, entry.topup_id)


def _billed_order(entry: BilledState) -> tuple[float, bytes]:
    return (entry.time, entry.key)
