"""A request for the state of budgets."""

from __future__ import annotations

import msgspec


class BudgetRequest(msgspec.Struct, frozen=True):
    """Asks for the budgets whose names start with ``prefix``."""

    prefix: str
