"""State and top-ups of budgets for operators."""

from __future__ import annotations

from collections.abc import Sequence

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.top_up_reply import TopUpReply
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.process.keeper.exceptions import KeeperError
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of
from knapweeddrum.process.keeper.membership_task import MembershipTask

DEPOSIT_APPEND_TIMEOUT_SECONDS = 3.0
TOP_UP_RETRY_AFTER_SECONDS = 2.0


class BudgetManager:
    """Reports the state of budgets and appends deposits."""

    def __init__(
        self,
        streams: Sequence[KeeperStream[BudgetLedger]],
        membership: MembershipTask,
    ) -> None:
        self._streams = streams
        self._membership = membership

    async def top_up(self, req: TopUpRequest) -> TopUpReply:
        """Append a deposit; a repeat under the same identifier adds no tokens."""
        stream = shard_of(req.budget, self._streams)
        fact = Deposit(topup_id=req.topup_id, budget=req.budget, tokens=req.tokens)
        try:
            stream.require_state()
            verdict = await stream.appender.append(fact, DEPOSIT_APPEND_TIMEOUT_SECONDS)
        except KeeperError:
            return TopUpReply(accepted=False, retry_after=TOP_UP_RETRY_AFTER_SECONDS)
        repeated = verdict.outcome is FactOutcome.REPEATED
        return TopUpReply(
            accepted=repeated or verdict.outcome is FactOutcome.ACCEPTED,
            repeated=repeated,
            balance=stream.ledger.balance(req.budget),
        )

    def read(self, req: BudgetRequest) -> BudgetReply:
        """Return the state of the budgets whose names start with the prefix."""
        live = self._membership.live_incarnations()
        statuses = [
            stream.ledger.status(budget, live)
            for stream in self._streams
            for budget in stream.ledger.budgets()
            if budget.startswith(req.prefix)
        ]
        statuses.sort(key=lambda status: status.budget)
        return BudgetReply(budgets=tuple(statuses))
