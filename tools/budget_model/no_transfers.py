"""Transfer client for strategies without transfers."""

from __future__ import annotations

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.process.keeper.transfer_client import TransferClient


class NoTransfers(TransferClient):
    """Requests no tokens from other keepers."""

    async def fetch(self, pool: AllowancePool, budget: str, tokens: int) -> None:
        """Do nothing."""
