"""Model of keepers, routers and their runs, built from the decision classes alone."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.budget_windows import BudgetWindows
from knapweeddrum.core.budget.grant_unlock_state import GrantUnlockState
from knapweeddrum.core.budget.grant_witness import GrantWitness
from knapweeddrum.core.budget.request_usage import RequestUsage
from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.core.budget.transfer_table import TransferTable
from knapweeddrum.core.budget.unlock_verdict import UnlockVerdict
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.fact_codec import encode_batch
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_return import GrantReturn

BUDGET = "org/b"
GRANT_WINDOW_SECONDS = 100.0
LONGER_THAN_ALL_RETRIES = 1e12
WINDOWS = BudgetWindows(
    topup=LONGER_THAN_ALL_RETRIES,
    bill=LONGER_THAN_ALL_RETRIES,
    grant=GRANT_WINDOW_SECONDS,
)


@dataclasses.dataclass(frozen=True)
class FleetClasses:
    """The classes under test; a faulty variant replaces one of them."""

    ledger: type[BudgetLedger] = BudgetLedger
    pool: type[AllowancePool] = AllowancePool
    witness: type[GrantWitness] = GrantWitness


class Process:
    """A router, or the state that a keeper has in common with a router."""

    def __init__(self, name: str, classes: FleetClasses) -> None:
        self.name = name
        self.pool = classes.pool(name)
        self.transfer_id: str | None = None


class Keeper(Process):
    """One keeper incarnation; killing it replaces the object and loses its state."""

    def __init__(self, name: str, classes: FleetClasses) -> None:
        super().__init__(name, classes)
        self.replay = StreamReplay(classes.ledger(WINDOWS), GRANT_WINDOW_SECONDS)
        self.transfers = TransferTable(self.pool)
        self.witness = classes.witness(name)
        self.grants: dict[str, GrantUnlockState] = {}
        self.witnesses: dict[str, str] = {}
        self.queue: list[AnyFact] = []
        self.payload: bytes | None = None
        self.sequence = 0

    def apply_verdict(self, verdict: FactVerdict) -> None:
        fact = verdict.fact
        if not isinstance(fact, Grant) or not verdict.tokens:
            return
        if fact.witness == self.name:
            self.witness.register(fact.grant_id, fact.budget, fact.holder)
        if fact.holder == self.name and fact.grant_id not in self.grants:
            grant = GrantUnlockState(fact.grant_id, fact.budget, verdict.tokens)
            self.grants[fact.grant_id] = grant
            self.witnesses[fact.grant_id] = fact.witness


@dataclasses.dataclass
class Run:
    """A run at an engine, which continues until each settler has settled it.

    A settler that has been killed never settles, so its run continues.
    """

    request_key: str
    run_id: str
    limit: int
    settlers: list[tuple[Process, Reservation]]
    used: int = 0


class Fleet:
    """The log, the processes, the runs, and replies that have not arrived yet."""

    def __init__(self, classes: FleetClasses) -> None:
        self.classes = classes
        self.reference = StreamReplay(classes.ledger(WINDOWS), GRANT_WINDOW_SECONDS)
        self.billed_keys: set[str] = set()
        self.paid: dict[str, int] = {}
        self.log: list[tuple[float, bytes]] = []
        self.sent: list[bytes] = []
        self.delayed_replies: list[Callable[[], None]] = []
        self.runs: list[Run] = []
        self.time = 1000.0
        self.consumed = 0
        self.count = 0
        self.keepers = [Keeper(f"k{n}/0", classes) for n in range(3)]
        self.routers = [Process(f"r{n}/0", classes) for n in range(2)]

    def spendable_tokens(self) -> int:
        """Return free tokens of live processes and tokens that runs may still use."""
        free = sum(p.pool.free(BUDGET) for p in (*self.keepers, *self.routers))
        return free + sum(run.limit - run.used for run in self.runs if run.settlers)

    def pick_unsettled_run(self, pick: int) -> list[Run]:
        """Return one of the unsettled runs, or an empty list."""
        unsettled = [run for run in self.runs if run.settlers]
        return [unsettled[pick % len(unsettled)]] if unsettled else []

    def unique(self, prefix: str) -> str:
        self.count += 1
        return f"{prefix}{self.count}"

    def append(self, payload: bytes) -> None:
        self.log.append((self.time, payload))
        offset = len(self.log) - 1
        for verdict in self.reference.apply(offset, self.time, payload):
            if isinstance(verdict.fact, Bill):
                self.billed_keys.add(verdict.fact.request_key)
            if isinstance(verdict.fact, Deposit):
                self.paid[verdict.fact.topup_id] = verdict.fact.tokens

    def read(self, keeper: Keeper) -> None:
        for offset in range(keeper.replay.position + 1, len(self.log)):
            for verdict in keeper.replay.apply(offset, *self.log[offset]):
                keeper.apply_verdict(verdict)
            if keeper.replay.last_sequence(keeper.name) == keeper.sequence:
                keeper.payload = None

    def write(self, keeper: Keeper, *facts: AnyFact, append_count: int = 1) -> None:
        """Queue facts, and append the keeper's batch ``append_count`` times."""
        keeper.queue += facts
        self.read(keeper)
        if keeper.payload is None and keeper.queue:
            keeper.sequence += 1
            batch = tuple(keeper.queue)
            keeper.payload = encode_batch(keeper.name, keeper.sequence, batch)
            keeper.queue.clear()
            self.sent.append(keeper.payload)
        for _ in range(append_count if keeper.payload else 0):
            self.append(keeper.payload)
        self.read(keeper)

    def deliver_reply(self, action: Callable[[], None], arrival: str) -> None:
        """Deliver a reply as ``arrival`` says.

        ``now`` delivers it at once, ``late`` does not, and both keep it for later and
        repeated delivery; ``lost`` drops it.
        """
        if arrival == "now":
            action()
        if arrival != "lost":
            self.delayed_replies.append(action)

    def unlock(self, keeper: Keeper, tokens: int, arrival: str) -> None:
        """Ask the witnesses to unlock ``tokens`` more of each grant of a keeper."""
        for grant_id, grant in sorted(keeper.grants.items()):
            found = [k for k in self.keepers if k.name == keeper.witnesses[grant_id]]
            for witness in found:
                self.read(witness)
                limit = grant.request_unlock(tokens)
                verdict = witness.witness.unlock(grant_id, keeper.name, limit)
                if verdict is UnlockVerdict.ALLOWED:
                    action = self._unlock_reply(keeper, grant, grant_id, limit)
                    self.deliver_reply(action, arrival)

    def transfer_slices(
        self, receiver: Process, sender: Keeper, tokens: int, arrival: str
    ) -> None:
        """Transfer slices; a repeat after a lost reply has the same identifier."""
        transfer_id = receiver.transfer_id or self.unique(
            f"{receiver.name}>{sender.name}/"
        )
        receiver.transfer_id = transfer_id if arrival == "lost" else None
        slices = sender.transfers.send(transfer_id, BUDGET, tokens, self.time)
        self.deliver_reply(lambda: _credit(receiver, transfer_id, slices), arrival)

    def start(self, router: Process, request_key: str, tokens: int) -> None:
        reservation = router.pool.reserve(BUDGET, tokens)
        if reservation is None:
            return
        settlers = [(router, reservation)]
        run_id = self.unique("run")
        self.runs.append(Run(request_key, run_id, reservation.tokens, settlers))

    def settle(self, run: Run, writers: list[Keeper], append_count: int) -> None:
        """Settle at the first settler; several keepers may append its bill."""
        process, reservation = run.settlers[0]
        if process not in self.routers:
            return
        del run.settlers[0]
        figures = RequestUsage(run.request_key, run.run_id, run.used, "finished")
        settlement = process.pool.settle(reservation, figures)
        bill = Bill(
            **{name: getattr(settlement, name) for name in settlement.__struct_fields__}
        )
        for keeper in writers:
            self.write(keeper, bill, append_count=append_count)

    def give_back(self, process: Process, writer: Keeper, append_count: int) -> None:
        facts = [
            GrantReturn(self.unique("u"), entry.grant_id, BUDGET, entry.tokens)
            for entry in process.pool.withdraw_all()
        ]
        self.write(writer, *facts, append_count=append_count)

    def give_up(self, keeper: Keeper, append_count: int) -> None:
        facts = [
            GrantReturn(self.unique("u"), grant_id, BUDGET, tokens, opened=False)
            for grant_id, grant in sorted(keeper.grants.items())
            if (tokens := grant.give_up_locked())
        ]
        self.write(keeper, *facts, append_count=append_count)

    def _unlock_reply(
        self, keeper: Keeper, grant: GrantUnlockState, grant_id: str, limit: int
    ) -> Callable[[], None]:
        def action() -> None:
            unlocked = grant.record_unlocked(limit)
            if unlocked.tokens:
                keeper.pool.credit(f"{grant_id}/{limit}", (unlocked,))

        return action


def _credit(process: Process, credit_id: str, slices: tuple[Allowance, ...]) -> None:
    process.pool.credit(credit_id, slices)
