"""How long the budget ledger remembers identifiers."""

from __future__ import annotations

import dataclasses

SECONDS_PER_DAY = 24 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetWindows:
    """Windows in seconds of log time.

    ``topup`` must be longer than all retries of a deposit. ``bill`` must be longer than
    all retries of a request and than the delay of any settlement. ``grant`` applies to
    closed grants, which have no tokens left; repeated appends of such a grant are
    dropped by their sequence number. Open grants and their return identifiers are
    never forgotten.
    """

    topup: float = 90 * SECONDS_PER_DAY
    bill: float = 2 * 3600.0
    grant: float = 600.0
