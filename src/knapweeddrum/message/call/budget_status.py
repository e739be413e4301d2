"""The state of one budget in the fold."""

from __future__ import annotations

import msgspec


class BudgetStatus(msgspec.Struct, frozen=True):
    """All in tokens; deposited = balance + held + billed + duplicate.

    ``held`` is with live holders, ``stranded`` with holders that no longer answer and
    part of ``held``; ``bills`` counts billed requests. ``excess`` is what bills named
    beyond the rest of their grants; it stays 0 while no holder spends what it doesn't
    hold.
    """

    budget: str
    deposited: int
    balance: int
    held: int
    stranded: int
    billed: int
    duplicate: int
    bills: int
    excess: int = 0
