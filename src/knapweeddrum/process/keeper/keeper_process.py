"""The keeper process: set-up, run and stop."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.costlier_error import CostlierError
from knapweeddrum.core.budget.demand_horizon import DemandHorizon
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters
from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.config.config_ledger import ConfigLedger
from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.core.membership.new_incarnation import new_incarnation
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.core.replay.checkpoint_policy import CheckpointPolicy
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.host_list import HostList
from knapweeddrum.process.keeper.budget_manager import BudgetManager
from knapweeddrum.process.keeper.checkpoint_task import CheckpointTask
from knapweeddrum.process.keeper.config_manager import ConfigManager
from knapweeddrum.process.keeper.grant_manager import GrantManager
from knapweeddrum.process.keeper.keeper_parts import KeeperParts
from knapweeddrum.process.keeper.keeper_service import KeeperService
from knapweeddrum.process.keeper.keeper_stream import KeeperStream
from knapweeddrum.process.keeper.locate_manager import LocateManager
from knapweeddrum.process.keeper.log_appender import LogAppender
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.peer_records import PeerRecords
from knapweeddrum.process.keeper.request_claim_manager import RequestClaimManager
from knapweeddrum.process.keeper.settlement_manager import SettlementManager
from knapweeddrum.process.keeper.stream_follower import StreamFollower
from knapweeddrum.process.keeper.transfer_client import TransferClient
from knapweeddrum.process.keeper.witness_task import WitnessTask
from knapweeddrum.process.stop_signal import stop_signal
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.rpc_server import rpc_server
from knapweeddrum.settings.host_settings import HostSettings
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.build_id import build_id
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import PROCESS_STARTED, PROCESS_STOPPED
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.drain_source import DrainSource
from knapweeddrum.value.identifiers import HostName

CONFIG_STREAM = "config"
APPEND_FLUSH_TIMEOUT_SECONDS = 5.0
STOP_POLL_PERIOD_SECONDS = 0.05
ROUTER_DRAIN_NOTICE_TIMEOUT_SECONDS = 1.0
BINARY = "knapweed-keeper"

LedgerT = TypeVar("LedgerT", bound=Ledger)


class KeeperProcess:
    """Builds the components of one keeper and runs them until it is stopped."""

    def __init__(
        self,
        settings: Settings,
        log: AppendLog,
        host_list: HostList,
        peers: PeerChannels,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._log = log
        self._events = events
        self._metrics = metrics
        own = settings.host
        self._incarnation = new_incarnation(
            HostName(own.name), "keeper", time.time_ns() // 1_000_000, rng
        )
        seeds = tuple(_peer_address(peer) for peer in settings.peers)
        table = MemberTable(self._first_heartbeat(), rng)
        self._membership = MembershipTask(
            table, peers, host_list, self._offset_in_force, clock, events, seeds
        )
        self._peer_records = PeerRecords(self._membership.live_peers, peers, rng)
        shards = range(settings.budgets.shards)
        config = self._stream(CONFIG_STREAM, ConfigLedger())
        budgets = [self._stream(f"budget-{n}", BudgetLedger()) for n in shards]
        claims = [self._stream(f"claim-{n}", RequestClaimLedger()) for n in shards]
        self._streams: list[KeeperStream[Ledger]] = [config, *budgets, *claims]
        self._config = ConfigManager(config, own.name, clock)
        transfers = TransferClient(self._incarnation, self._membership, peers, rng)
        self._grants = GrantManager(
            self._incarnation,
            budgets,
            self._policy(),
            self._membership,
            transfers,
            peers,
            clock,
            settings.budgets.witnessed,
        )
        self._witness = WitnessTask(
            self._incarnation, budgets, self._membership, clock, events
        )
        platform = settings.platform
        self._checkpoints = CheckpointTask(
            self._incarnation,
            self._streams,
            CheckpointPolicy(
                platform.checkpoint_records, platform.log_retention_seconds
            ),
            self._membership,
            time.time,
            events,
        )
        parts = KeeperParts(
            grants=self._grants,
            settlements=SettlementManager(budgets),
            claims=RequestClaimManager(claims),
            config=self._config,
            budgets=BudgetManager(budgets, self._membership),
            witness=self._witness,
            locate=LocateManager(self._membership, peers, clock),
            membership=self._membership,
            peers=peers,
            followers={s.follower.stream: s.follower for s in self._streams},
        )
        self.service = KeeperService(parts)

    async def run(self) -> None:
        """Serve until the first stop signal, then return unspent tokens."""
        own = self._settings.host
        fleet = self._settings.fleet
        identity = FleetIdentity(fleet=fleet.name, key=fleet.key)
        self._events.emit(
            PROCESS_STARTED, binary=BINARY, host=own.name, build=build_id()
        )
        async with stop_signal() as stop, anyio.create_task_group() as tasks:
            self.start_tasks(tasks)
            address = str(own.address)
            async with rpc_server(
                self.service, identity, address, own.keeper_port, self._events
            ):
                await self._wait_for_stop(stop)
                await self._wait_for_own_router()
                await self.return_tokens()
            tasks.cancel_scope.cancel()
        self._events.emit(PROCESS_STOPPED, binary=BINARY)

    async def _wait_for_stop(self, stop: anyio.Event) -> None:
        """Wait for the stop signal or for a newer incarnation of this keeper."""

        async def superseded() -> None:
            await self._membership.superseded.wait()
            stop.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(superseded)
            await stop.wait()
            tasks.cancel_scope.cancel()

    def start_tasks(self, tasks: TaskGroup) -> None:
        """Start all tasks of the keeper except the RPC server."""
        for stream in self._streams:
            tasks.start_soon(stream.follower.run)
            tasks.start_soon(stream.appender.run)
        tasks.start_soon(self._membership.run)
        tasks.start_soon(self._grants.run)
        tasks.start_soon(self._checkpoints.run)
        tasks.start_soon(self._witness.run)

    async def return_tokens(self) -> None:
        """Return unspent tokens and wait a limited time until all facts are written."""
        self._membership.set_drain(DrainSource.KEEPER, True)
        self._grants.return_all()
        with anyio.move_on_after(APPEND_FLUSH_TIMEOUT_SECONDS):
            while not all(stream.appender.idle for stream in self._streams):
                await anyio.sleep(STOP_POLL_PERIOD_SECONDS)

    async def _wait_for_own_router(self) -> None:
        """Serve the router of this host until it has drained.

        A router that drains reports this first; if none does, the keeper stops alone.
        """
        with anyio.move_on_after(ROUTER_DRAIN_NOTICE_TIMEOUT_SECONDS):
            while not self._membership.is_drained_by(DrainSource.ROUTER):
                await anyio.sleep(STOP_POLL_PERIOD_SECONDS)
        limit = self._settings.router.drain_limit_seconds
        with anyio.move_on_after(limit):
            while self._is_router_draining():
                await anyio.sleep(STOP_POLL_PERIOD_SECONDS)

    def _is_router_draining(self) -> bool:
        drains = self._membership.is_drained_by(DrainSource.ROUTER)
        return drains and self._config.has_own_router()

    def _stream(self, name: str, ledger: LedgerT) -> KeeperStream[LedgerT]:
        replay = StreamReplay(ledger)
        follower = StreamFollower(
            self._log, name, replay, self._peer_records, self._events
        )
        appender = LogAppender(self._log, name, self._incarnation, self._metrics)

        def on_applied(verdicts: tuple[FactVerdict, ...] = ()) -> None:
            appender.on_applied(verdicts, replay.last_sequence(self._incarnation))

        follower.listen(on_applied)
        follower.listen_for_jumps(on_applied)
        return KeeperStream(ledger, follower, appender)

    def _policy(self) -> DemandHorizon:
        budgets = self._settings.budgets
        return DemandHorizon(
            HorizonParameters.for_costlier_error(
                CostlierError(budgets.weigh),
                budgets.horizon_seconds,
                budgets.minimum_grant_tokens,
            )
        )

    def _first_heartbeat(self) -> Heartbeat:
        own = self._settings.host
        return Heartbeat(
            host=own.name,
            data_centre=own.data_centre,
            incarnation=self._incarnation,
            address=str(own.address),
            router_port=own.router_port,
            keeper_port=own.keeper_port,
            control_port=own.control_port,
            sequence=0,
            draining=False,
            config_offset=-1,
        )

    def _offset_in_force(self) -> int:
        return self._config.offset_in_force()


def _peer_address(peer: HostSettings) -> PeerAddress:
    return PeerAddress(HostName(peer.name), str(peer.address), peer.keeper_port)
