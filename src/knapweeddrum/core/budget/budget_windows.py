"""How long the budget fold remembers identifiers."""

from __future__ import annotations

import dataclasses

DAY = 24 * 3600.0
"""Seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetWindows:
    """Windows in seconds of log time.

    ``topup`` must outlive every retry of a deposit, ``bill`` every retry of a request
    and every settlement that is still under way, and ``grant`` every repeated append
    of a grant whose tokens are all gone. Open grants are never forgotten, and their
    return identifiers stay with them.
    """

    topup: float = 90 * DAY
    bill: float = 2 * 3600.0
    grant: float = 7 * DAY
