"""Transfers switched off."""

from __future__ import annotations

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.process.keeper.transfer_client import TransferClient


class NoTransfers(TransferClient):
    """Asks no peer."""

    async def fetch(self, pool: AllowancePool, budget: str, tokens: int) -> None:
        """Leave the pool as it is."""
