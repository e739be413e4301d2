"""Names of the model's streams and budget."""

from __future__ import annotations

BUDGET = "org/main"
BUDGET_STREAM = "budget-0"
CLAIM_STREAM = "claim-0"
