"""The state of budgets."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.budget_status import BudgetStatus


class BudgetReply(msgspec.Struct, frozen=True):
    """One status for each matching budget, sorted by name."""

    budgets: tuple[BudgetStatus, ...]
