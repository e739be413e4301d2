"""A keeper's managers on an in-memory log and network."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio.abc

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.costlier_error import CostlierError
from knapweeddrum.core.budget.demand_horizon import DemandHorizon
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters
from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.transfer_reply import TransferReply
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.process.keeper.grant_manager import GrantManager
from knapweeddrum.process.keeper.keeper_stream import KeeperStream
from knapweeddrum.process.keeper.log_appender import BATCH_WINDOW_SECONDS, LogAppender
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.request_claim_manager import RequestClaimManager
from knapweeddrum.process.keeper.stream_follower import StreamFollower
from knapweeddrum.process.keeper.transfer_client import TransferClient
from knapweeddrum.process.keeper.witness_task import WitnessTask
from knapweeddrum.rpc.keeper_methods import EXCHANGE, TRANSFER, UNLOCK
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_service import RpcService
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from tools.slopes.empty_host_list import EmptyHostList
from tools.slopes.membership_group import PORT
from tools.slopes.memory_caller import MemoryNetwork
from tools.slopes.memory_log import MemoryLog
from tools.slopes.no_peers import NoPeers

HORIZON_SECONDS = 10.0
MINIMUM_GRANT_TOKENS = 2_000

LedgerT = TypeVar("LedgerT", bound=Ledger)


class MemoryKeeper(RpcService):
    """Serves witnessed grants and request claims, one shard of each."""

    def __init__(
        self,
        index: int,
        heartbeats: tuple[Heartbeat, ...],
        log: MemoryLog,
        network: MemoryNetwork,
        batch_window: float = BATCH_WINDOW_SECONDS,
    ) -> None:
        own = heartbeats[index]
        rng = random.Random(index)
        peers = PeerChannels(network.connect)
        events = EventLog("error")
        self._log = log
        self._batch_window = batch_window
        self._incarnation = own.incarnation
        self._events = events
        membership = MembershipTask(
            MemberTable(own, rng),
            peers,
            EmptyHostList(),
            lambda: 0,
            time.monotonic,
            events,
            (),
        )
        membership.merge_heartbeats(ExchangeRequest(heartbeats))
        self._membership = membership
        self.budgets = self._stream("budget-0", BudgetLedger())
        self.claim_stream = self._stream("claim-0", RequestClaimLedger())
        self._witness = WitnessTask(
            own.incarnation, [self.budgets], membership, time.monotonic, events
        )
        self.claims = RequestClaimManager([self.claim_stream])
        self.grants = GrantManager(
            own.incarnation,
            [self.budgets],
            DemandHorizon(
                HorizonParameters.for_costlier_error(
                    CostlierError.OVERSPEND, HORIZON_SECONDS, MINIMUM_GRANT_TOKENS
                )
            ),
            membership,
            TransferClient(own.incarnation, membership, peers, rng),
            peers,
            time.monotonic,
        )
        network.serve(own.address, PORT, self)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the tasks of this keeper."""
        for stream in (self.budgets, self.claim_stream):
            tasks.start_soon(stream.follower.run)
            tasks.start_soon(stream.appender.run)
        tasks.start_soon(self.grants.run)
        tasks.start_soon(self._membership.run)

    def handlers(
        self,
    ) -> list[tuple[Method[Any, Any], Callable[[Any], Awaitable[Any]]]]:
        """Return the methods that peers call."""
        return [
            (EXCHANGE, self._exchange),
            (UNLOCK, self._witness.unlock),
            (TRANSFER, self._transfer),
        ]

    async def _exchange(self, req: ExchangeRequest) -> ExchangeReply:
        return self._membership.merge_heartbeats(req)

    async def _transfer(self, req: TransferRequest) -> TransferReply:
        return await self.grants.transfer(req)

    def _stream(self, name: str, ledger: LedgerT) -> KeeperStream[LedgerT]:
        replay = StreamReplay(ledger)
        follower = StreamFollower(self._log, name, replay, NoPeers(), self._events)
        appender = LogAppender(
            self._log, name, self._incarnation, Metrics(), self._batch_window
        )

        def on_applied(verdicts: tuple[FactVerdict, ...] = ()) -> None:
            appender.on_applied(verdicts, replay.last_sequence(self._incarnation))

        follower.listen(on_applied)
        return KeeperStream(ledger, follower, appender)
