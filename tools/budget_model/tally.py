"""Counters of one simulation run."""

from __future__ import annotations

import collections

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.platform.log_record import LogRecord
from tools.budget_model.streams import BUDGET, BUDGET_STREAM

COUNTED = {FactOutcome.ACCEPTED, FactOutcome.PARTIAL}


class Tally:
    """Replays the log by itself and counts all tokens consumed at the engines."""

    def __init__(self, ledger: BudgetLedger) -> None:
        self.requests = 0
        self.consumed = 0
        self.false_refusals = 0
        self.true_refusals = 0
        self.false_exhausted = 0
        self.overspent = 0
        self._reserved = 0
        self._served: set[str] = set()
        self._billed_runs: dict[str, set[str]] = collections.defaultdict(set)
        self._replay = StreamReplay(ledger)
        self._ledger = ledger

    def record(self, stream: str, record: LogRecord) -> None:
        """Apply a log record; those of other streams are ignored."""
        if stream != BUDGET_STREAM:
            return
        for verdict in self._replay.apply(record.offset, record.time, record.payload):
            self._record_bill(verdict)

    def dispatch(self, reserved: int, used: int) -> None:
        """Count a run that an engine starts; its tokens count as consumed at once."""
        self.consumed += used
        self._reserved += reserved - used
        deposited = self._ledger.status(BUDGET).deposited
        self.overspent = max(self.overspent, self.consumed - deposited)

    def end(self, reserved: int, used: int) -> None:
        """Record that a run's reservation has ended."""
        self._reserved -= reserved - used

    def answer(self, request_key: str) -> None:
        """Record that a caller has got its answer."""
        self._served.add(request_key)

    def refuse(self, wanted: int, says_exhausted: bool) -> None:
        """Count a refusal; it is false if the budget had ``wanted`` tokens left."""
        deposited = self._ledger.status(BUDGET).deposited
        if deposited - self.consumed - self._reserved < wanted:
            self.true_refusals += 1
            return
        self.false_refusals += 1
        self.false_exhausted += says_exhausted

    def billed_twice(self) -> int:
        """Return the number of requests with more than one billed run."""
        return sum(len(runs) > 1 for runs in self._billed_runs.values())

    def unbilled(self) -> int:
        """Return the number of answered requests without a bill."""
        return len(self._served - set(self._billed_runs))

    def count_stranded(self, live_incarnations: set[str]) -> int:
        """Return the tokens in grants held by keepers that are not live."""
        return self._ledger.status(BUDGET, live_incarnations).stranded

    def _record_bill(self, verdict: FactVerdict) -> None:
        fact = verdict.fact
        if not isinstance(fact, Bill) or verdict.outcome not in COUNTED:
            return
        runs = self._billed_runs[fact.request_key]
        # A further run for which no tokens were billed is not a second billing.
        if verdict.tokens or not runs:
            runs.add(fact.run_id)
