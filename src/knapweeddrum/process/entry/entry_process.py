"""Tasks of an entry process, from start to stop."""

from __future__ import annotations

import pathlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from knapweeddrum.platform.directory_protocol import DIRECTORY_PATH, READY_PATH
from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.crash_detector import CrashDetector
from knapweeddrum.process.entry.crash_record_reader import CrashRecordReader
from knapweeddrum.process.entry.crash_sharing import (
    CLEAR_PATH,
    CRASH_EXCHANGE_PATH,
    CrashSharing,
)
from knapweeddrum.process.entry.drain_sequence import DrainSequence
from knapweeddrum.process.entry.endpoint_permits import EndpointPermits
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.entry_pages import EntryPages
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.heartbeat_task import HeartbeatTask
from knapweeddrum.process.entry.host_state_page import STATE_PATH, HostStatePage
from knapweeddrum.process.entry.housekeeping_task import HousekeepingTask
from knapweeddrum.process.entry.keep_running import keep_running
from knapweeddrum.process.entry.lapsed_entry_task import LapsedEntryTask
from knapweeddrum.process.entry.limit_news_task import LimitNewsTask
from knapweeddrum.process.entry.link_watch import LinkWatch
from knapweeddrum.process.entry.loan_exchange import LOAN_PATH, RETURN_PATH
from knapweeddrum.process.entry.loop_lag_task import LoopLagTask
from knapweeddrum.process.entry.lost_connection import LostConnection
from knapweeddrum.process.entry.page_server import PageHandler, PageServer
from knapweeddrum.process.entry.path_connector import PathConnector
from knapweeddrum.process.entry.path_watch import PathWatch
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.permit_desk import (
    LIMIT_NEWS_PATH,
    PERMIT_PATH,
    PermitDesk,
)
from knapweeddrum.process.entry.request_parts import RequestParts
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from knapweeddrum.process.entry.sighting_task import SIGHTING_PATH, SightingTask
from knapweeddrum.process.entry.spending_task import SpendingTask
from knapweeddrum.process.entry.stream_followers import stream_followers
from knapweeddrum.process.entry.stream_origin_sharing import (
    NOTICE_PATH,
    QUESTION_PATH,
    StreamOriginSharing,
)
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_borrower import TokenBorrower
from knapweeddrum.process.entry.token_lender import TokenLender
from knapweeddrum.process.entry.token_unlocker import UNLOCK_PATH, TokenUnlocker
from knapweeddrum.process.entry.token_witness import WITNESS_LEAVE_PATH, TokenWitness
from knapweeddrum.process.entry.tunnel_client import TUNNEL_PATH, TunnelClient
from knapweeddrum.process.entry.tunnel_server import TunnelServer
from knapweeddrum.process.entry.tunnel_watch import TunnelWatch
from knapweeddrum.process.entry.version_recall_task import VersionRecallTask
from knapweeddrum.telemetry.bounded_writer import BoundedWriter
from knapweeddrum.telemetry.build_id import build_id
from knapweeddrum.telemetry.entry_events import SIGNAL_RECEIVED
from knapweeddrum.telemetry.events import PROCESS_STARTED, PROCESS_STOPPED

BINARY = "knapweed-entry"
METRICS_PATH = b"/metrics"

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class EntryProcess:
    """Runs the tasks of one host.

    The metrics and state pages are not served if ``metrics_port`` is 0.
    """

    def __init__(
        self,
        ctx: EntryContext,
        paths: PathConnector,
        tunnel_client: TunnelClient,
        losses: MemoryObjectReceiveStream[LostConnection],
        writer: BoundedWriter,
        settings_path: pathlib.Path,
        metrics_port: int,
    ) -> None:
        self._ctx = ctx
        self._metrics_port = metrics_port
        peers = PeerClient(ctx)
        self._unlocker = TokenUnlocker(ctx, peers)
        self._witness = TokenWitness(ctx, peers)
        self._borrower = TokenBorrower(ctx, peers)
        self._spending = SpendingTask(ctx)
        self._allocator = TokenAllocator(
            ctx, self._unlocker, self._borrower, self._spending
        )
        self._lender = TokenLender(ctx, self._allocator)
        self._stream_origins = StreamOriginSharing(ctx, peers)
        self._permit_desk = PermitDesk(ctx)
        self._fleet_view = FleetView(ctx)
        self._sightings = SightingTask(ctx, peers, self._fleet_view)
        self._limit_news = LimitNewsTask(ctx, peers)
        permits = EndpointPermits(ctx, peers, self._permit_desk)
        parts = RequestParts(self._allocator, self._stream_origins, permits)
        self._server = CallerServer(ctx, parts)
        self._housekeeping = HousekeepingTask(ctx, writer, settings_path)
        self._heartbeat = HeartbeatTask(ctx)
        self._loop_lag = LoopLagTask(ctx)
        self._link_watch = LinkWatch(ctx, self._server, self._heartbeat.announce)
        self._tunnels = TunnelServer(ctx, paths)
        self._path_watch = PathWatch(
            ctx, paths, self._tunnels, self._heartbeat.announce
        )
        self._tunnel_watch = TunnelWatch(ctx, peers, tunnel_client)
        self._service_list = ServiceListReader(ctx)
        self._lapsed_entries = LapsedEntryTask(ctx, self._service_list)
        self._version_recall = VersionRecallTask(ctx)
        self._crash_detector = CrashDetector(ctx, losses)
        self._crash_records = CrashRecordReader(ctx)
        self._crash_sharing = CrashSharing(ctx, peers, self._crash_records)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; SIGINT during that stops at once.

        Further SIGTERMs change nothing, as tools may send several for one stop.
        """
        ctx = self._ctx
        ctx.events.emit(
            PROCESS_STARTED,
            binary=BINARY,
            host=ctx.settings.host_name,
            build=build_id(),
        )
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            async with anyio.create_task_group() as tasks:
                for server in self._page_servers():
                    tasks.start_soon(server.run)
                tasks.start_soon(self._server.run)
                for name, task in self._background_tasks():
                    tasks.start_soon(keep_running, ctx, name, task)
                await self._wait_for_stop_signal(signals)
                await self._drain(signals)
                tasks.cancel_scope.cancel()
        await ctx.pool.close()
        ctx.events.emit(PROCESS_STOPPED, binary=BINARY)

    def _background_tasks(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the tasks that run beside the servers, with their names."""
        followers = stream_followers(
            self._ctx, self._service_list, self._fleet_view, self._crash_records
        )
        return [
            *((follower.stream, follower.run) for follower in followers),
            ("spending", self._spending.run),
            ("allocator", self._allocator.run),
            ("borrower", self._borrower.run),
            ("unlocker", self._unlocker.run),
            ("lapsed entries", self._lapsed_entries.run),
            ("heartbeat", self._heartbeat.run),
            ("sightings", self._sightings.run),
            ("limit news", self._limit_news.run),
            ("loop lag", self._loop_lag.run),
            ("link", self._link_watch.run),
            ("paths", self._path_watch.run),
            ("tunnels", self._tunnel_watch.run),
            ("crash detector", self._crash_detector.run),
            ("crash sharing", self._crash_sharing.run),
            ("stream origins", self._stream_origins.run),
            ("version recall", self._version_recall.run),
            ("housekeeping", self._housekeeping.run),
        ]

    def _page_servers(self) -> list[PageServer]:
        pages = EntryPages(self._ctx)
        settings = self._ctx.settings
        servers = [
            self._page_server(settings.ready_address, {READY_PATH: pages.ready}),
            self._page_server(
                settings.peer_address,
                {
                    LOAN_PATH: self._lender.lend,
                    RETURN_PATH: self._lender.take_back,
                    UNLOCK_PATH: self._witness.unlock,
                    WITNESS_LEAVE_PATH: self._witness.record_leave,
                    SIGHTING_PATH: self._sightings.exchange,
                    TUNNEL_PATH: self._tunnels.open,
                    PERMIT_PATH: self._permit_desk.answer,
                    LIMIT_NEWS_PATH: self._permit_desk.take_news,
                    CRASH_EXCHANGE_PATH: self._crash_sharing.exchange,
                    NOTICE_PATH: self._stream_origins.receive_notice,
                    QUESTION_PATH: self._stream_origins.answer_question,
                },
            ),
        ]
        if settings.directory_address is not None:
            served = {DIRECTORY_PATH: pages.directory}
            servers.append(self._page_server(settings.directory_address, served))
        if self._metrics_port:
            host = settings.caller_address.rpartition(":")[0]
            address = f"{host}:{self._metrics_port}"
            state = HostStatePage(self._ctx)
            servers.append(
                self._page_server(
                    address,
                    {
                        METRICS_PATH: pages.metrics,
                        STATE_PATH: state.state,
                        CLEAR_PATH: self._crash_sharing.clear,
                    },
                )
            )
        return servers

    def _page_server(
        self, address: str, pages: Mapping[bytes, PageHandler]
    ) -> PageServer:
        return PageServer(self._ctx, address, pages)

    async def _wait_for_stop_signal(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        async for received in signals:
            self._log_signal(received)
            if received is not signal.SIGHUP:
                return
            self._housekeeping.reload()

    async def _wait_for_interrupt(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Return at SIGINT; settings are reloaded also during a drain."""
        async for received in signals:
            self._log_signal(received)
            if received is signal.SIGINT:
                return
            if received is signal.SIGHUP:
                self._housekeeping.reload()

    def _log_signal(self, received: signal.Signals) -> None:
        ctx = self._ctx
        ctx.events.emit(
            SIGNAL_RECEIVED,
            signal=received.name,
            draining=ctx.draining,
            in_progress=ctx.in_progress,
        )

    async def _drain(self, signals: AsyncIterator[signal.Signals]) -> None:
        drain = DrainSequence(
            self._ctx, self._server, self._allocator, self._witness, self._tunnels
        )
        async with anyio.create_task_group() as tasks:

            async def stop_at_interrupt() -> None:
                await self._wait_for_interrupt(signals)
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop_at_interrupt)
            # Runs when the drain has begun and waits for the first time.
            tasks.start_soon(self._heartbeat.announce_drain)
            await drain.run()
            tasks.cancel_scope.cancel()
