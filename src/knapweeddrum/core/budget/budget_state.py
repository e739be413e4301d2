"""Encoded state of the budget ledger: MessagePack arrays in field order."""

from __future__ import annotations

import msgspec


class AccountState(msgspec.Struct, frozen=True, array_like=True):
    """One budget, as in ``Account``."""

    budget: str
    deposited: int
    balance: int
    billed: int
    duplicate: int
    excess: int
    bills: int


class GrantState(msgspec.Struct, frozen=True, array_like=True):
    """One grant, as in ``GrantEntry``; ``closed_at`` (s) is -1 while it is open."""

    grant_id: str
    budget: str
    holder: str
    witness: str
    granted: int
    remaining: int
    locked_returned: int
    released: bool
    return_ids: tuple[str, ...]
    closed_at: float


class TopUpState(msgspec.Struct, frozen=True, array_like=True):
    """One top-up whose deposit was accepted, and its log time (s)."""

    time: float
    topup_id: str
    budget: str
    tokens: int


class BilledState(msgspec.Struct, frozen=True, array_like=True):
    """One billed request, as in ``BilledRequest``; ``key`` is the key's digest."""

    time: float
    key: bytes
    packed_bills: bytes


class BudgetState(msgspec.Struct, frozen=True, array_like=True):
    """Accounts and grants sorted by name; top-ups and bills by time, then name."""

    accounts: tuple[AccountState, ...]
    grants: tuple[GrantState, ...]
    topups: tuple[TopUpState, ...]
    billed: tuple[BilledState, ...]
    version: int = 1
