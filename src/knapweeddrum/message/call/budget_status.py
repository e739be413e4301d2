"""The state of one budget."""

from __future__ import annotations

import msgspec


class BudgetStatus(msgspec.Struct, frozen=True):
    """Totals of one budget in tokens, but ``bills`` counts billed requests.

    deposited = balance + held + billed + duplicate. ``held`` is what is left in grants;
    it includes ``stranded``, the tokens held by processes that have failed.
    ``duplicate`` is what further executions of billed requests consumed. ``excess`` is
    what bills charged beyond the tokens left in their grants; it stays 0 unless a
    holder spends tokens that it doesn't hold.
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
