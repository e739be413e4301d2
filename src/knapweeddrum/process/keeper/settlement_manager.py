"""Settlements and returned allowances from routers."""

from __future__ import annotations

from collections.abc import Sequence

import anyio

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.message.call.settle_reply import SettleReply
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.grant_return import GrantReturn
from knapweeddrum.process.keeper.exceptions import KeeperError
from knapweeddrum.process.keeper.grant_return_fact import grant_return
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of

SETTLEMENT_APPEND_TIMEOUT_SECONDS = 3.0


class SettlementManager:
    """Appends settlements to the log as bills, and returned allowances as returns."""

    def __init__(self, streams: Sequence[KeeperStream[BudgetLedger]]) -> None:
        self._streams = streams

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Append settlements and returned allowances to the log.

        Returns are not credited to this keeper's pool: a router that gets no reply
        repeats them at another keeper, and only the log can detect the repeat.
        """
        accepted = True
        async with anyio.create_task_group() as tasks:

            async def append(fact: Bill | GrantReturn) -> None:
                nonlocal accepted
                accepted = await self._append(fact) and accepted

            for settlement in req.settlements:
                tasks.start_soon(append, _bill(settlement))
            for index, allowance in enumerate(req.returns):
                return_id = f"{req.settle_id}/{index}"
                tasks.start_soon(append, grant_return(return_id, allowance))
        return SettleReply(accepted=accepted)

    async def _append(self, fact: Bill | GrantReturn) -> bool:
        """Append a fact for a router and return whether it has been read back."""
        stream = shard_of(fact.budget, self._streams)
        try:
            await stream.appender.append(fact, SETTLEMENT_APPEND_TIMEOUT_SECONDS)
        except KeeperError:
            return False
        return True


def _bill(settlement: Settlement) -> Bill:
    return Bill(
        request_key=settlement.request_key,
        run_id=settlement.run_id,
        budget=settlement.budget,
        grant_id=settlement.grant_id,
        tokens=settlement.tokens,
        outcome=settlement.outcome,
        settler=settlement.settler,
        further=settlement.further,
        abandoned=settlement.abandoned,
    )
