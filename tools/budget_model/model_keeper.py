"""A keeper: the real process's tasks on simulated log, membership and calls."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import msgspec

from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.process.keeper.grant_manager import GrantManager
from knapweeddrum.process.keeper.keeper_stream import KeeperStream
from knapweeddrum.process.keeper.log_appender import LogAppender
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.request_claim_manager import RequestClaimManager
from knapweeddrum.process.keeper.settlement_manager import SettlementManager
from knapweeddrum.process.keeper.stream_follower import StreamFollower
from knapweeddrum.process.keeper.transfer_client import TransferClient
from knapweeddrum.process.keeper.witness_task import WitnessTask
from knapweeddrum.rpc import keeper_methods
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from tools.budget_model.fake_log import FakeLog
from tools.budget_model.fake_membership import FakeMembership
from tools.budget_model.host import Host
from tools.budget_model.model_caller import ModelCaller
from tools.budget_model.no_records import NoRecords
from tools.budget_model.no_transfers import NoTransfers
from tools.budget_model.streams import BUDGET_STREAM, CLAIM_STREAM

if TYPE_CHECKING:
    from tools.budget_model.fleet import Fleet

EVENTS = EventLog("critical")
FLUSH_POLL_INTERVAL_SECONDS = 0.1
FLUSH_TIMEOUT_SECONDS = 10.0


class ModelKeeper:
    """One incarnation of a host's keeper; its state is lost when it ends."""

    def __init__(self, fleet: Fleet, host: Host, number: int) -> None:
        self.host = host
        self.incarnation = f"{host.name}/keeper/{number}"
        self.is_killed = False
        self.tasks: anyio.abc.TaskGroup | None = None
        self._fleet = fleet
        self._scope = anyio.CancelScope()
        rng = random.Random(f"{fleet.seed}/{self.incarnation}")
        self._log = FakeLog(fleet.store, fleet.network, host, rng)
        budget = self._stream(BUDGET_STREAM, fleet.strategy.ledger())
        claim = self._stream(CLAIM_STREAM, RequestClaimLedger())
        self._streams: list[KeeperStream[Ledger]] = [budget, claim]
        membership = FakeMembership(
            host, self.incarnation, fleet.network, fleet.incarnations, fleet.clock
        )
        peers = PeerChannels(
            lambda address, _: ModelCaller(fleet, host, fleet.host(address))
        )
        client = TransferClient if fleet.strategy.transfers else NoTransfers
        self.budget = budget
        self.grants = GrantManager(
            self.incarnation,
            [budget],
            fleet.strategy.policy(),
            membership,
            client(self.incarnation, membership, peers, rng),
            peers,
            fleet.clock,
            fleet.strategy.witnessed,
            fleet.strategy.open_ahead,
        )
        self._witness = WitnessTask(
            self.incarnation, [budget], membership, fleet.clock, EVENTS
        )
        claims = RequestClaimManager([claim])
        self.handlers: dict[str, Callable] = {
            keeper_methods.DRAW.path: self.grants.draw,
            keeper_methods.SETTLE.path: SettlementManager([budget]).settle,
            keeper_methods.TRANSFER.path: self.grants.transfer,
            keeper_methods.UNLOCK.path: self._witness.unlock,
            keeper_methods.CLAIM.path: claims.claim,
            keeper_methods.OUTCOME.path: claims.record,
        }

    async def run(self) -> None:
        """Run until killed or stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                for stream in self._streams:
                    tasks.start_soon(stream.follower.run)
                    tasks.start_soon(stream.appender.run)
                tasks.start_soon(self.grants.run)
                tasks.start_soon(self._witness.run)

    def kill(self) -> None:
        """Cancel all tasks at once."""
        self.is_killed = True
        self._scope.cancel()

    async def hand_back(self) -> None:
        """Return unspent grants to the balance, as a graceful stop does."""
        self.grants.return_all()
        with anyio.move_on_after(FLUSH_TIMEOUT_SECONDS):
            while not all(stream.appender.idle for stream in self._streams):
                await anyio.sleep(FLUSH_POLL_INTERVAL_SECONDS)

    async def handle(self, path: str, req: msgspec.Struct) -> msgspec.Struct:
        """Answer a call."""
        return await self.handlers[path](req)

    def _stream(self, name: str, ledger: Ledger) -> KeeperStream[Ledger]:
        replay = StreamReplay(ledger)
        follower = StreamFollower(self._log, name, replay, NoRecords(), EVENTS)
        appender = LogAppender(self._log, name, self.incarnation, Metrics())

        def on_applied(verdicts: tuple[FactVerdict, ...] = ()) -> None:
            appender.on_applied(verdicts, replay.last_sequence(self.incarnation))

        follower.listen(on_applied)
        follower.listen_for_jumps(on_applied)
        return KeeperStream(ledger, follower, appender)
