"""How long the budget fold remembers identifiers."""

from __future__ import annotations

import dataclasses

DAY = 24 * 3600.0
"""Seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetWindows:
    """Windows in seconds of log time.

    ``topup`` must outlive every retry of a deposit, and ``bill`` every retry of a
    request and every settlement that is still under way. ``grant`` is for grants
    whose tokens are all gone; repeats of their appends are dropped by sequence. Open
    grants are never forgotten, and their return identifiers stay with them.
    """

    topup: float = 90 * DAY
    bill: float = 2 * 3600.0
    grant: float = 600.0
