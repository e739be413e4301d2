"""A request for the state of budgets."""

from __future__ import annotations

import msgspec


class BudgetRequest(msgspec.Struct, frozen=True):
    """Budgets whose name starts with ``prefix``."""

    prefix: str
