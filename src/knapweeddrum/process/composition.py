"""Builds and runs the router, keeper and control processes from their settings."""

from __future__ import annotations

import contextlib
import random
import time
import uuid
from collections.abc import Iterator

from knapweeddrum.core.membership.new_incarnation import new_incarnation
from knapweeddrum.endpoint.http_model_engine import HttpModelEngine
from knapweeddrum.endpoint.http_plain_service import HttpPlainService
from knapweeddrum.platform.http_append_log import HttpAppendLog
from knapweeddrum.platform.http_host_list import HttpHostList
from knapweeddrum.process.control.control_context import ControlContext
from knapweeddrum.process.control.control_process import ControlProcess
from knapweeddrum.process.keeper.keeper_process import KeeperProcess
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper_failover import KeeperFailover
from knapweeddrum.process.router.endpoint_clients import EndpointClients
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.router_process import run_router_process
from knapweeddrum.process.stop_signal import stop_signal
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.rpc.rpc_client import RpcClient
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.statsd_metrics import statsd_metrics
from knapweeddrum.value.identifiers import HostName


async def run_router(settings: Settings) -> None:
    """Run a router until it is told to stop."""
    telemetry = settings.telemetry
    rng = random.SystemRandom()
    incarnation = new_incarnation(
        HostName(settings.host.name), "router", time.time_ns() // 1_000_000, rng
    )
    identity = FleetIdentity(settings.fleet.name, settings.fleet.key)
    with peer_channels(identity) as channels:
        hosts = (settings.host, *settings.peers)
        keeper = KeeperFailover(
            [channels.at(str(host.address), host.keeper_port) for host in hosts]
        )
        context = RouterContext(
            settings=settings,
            keeper=keeper,
            clients=EndpointClients(
                engine=HttpModelEngine.connect, service=HttpPlainService.connect
            ),
            events=EventLog(telemetry.level, incarnation=incarnation),
            metrics=statsd_metrics(telemetry.statsd_host(), telemetry.statsd_port),
            rng=rng,
            clock=time.monotonic,
            wall_clock=time.time,
            incarnation=incarnation,
        )
        await run_router_process(context)


async def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop."""
    telemetry = settings.telemetry
    events = EventLog(telemetry.level, host=settings.host.name, role="keeper")
    metrics = statsd_metrics(telemetry.statsd_host(), telemetry.statsd_port)
    identity = FleetIdentity(settings.fleet.name, settings.fleet.key)
    async with (
        HttpAppendLog.connect(settings.platform.log) as log,
        HttpHostList.connect(settings.platform.host_list) as host_list,
    ):
        with peer_channels(identity) as channels:
            process = KeeperProcess(
                settings,
                log,
                host_list,
                channels,
                events,
                metrics,
                random.SystemRandom(),
            )
            await process.run()


async def run_control(settings: Settings) -> None:
    """Run a control process until it is told to stop."""
    telemetry = settings.telemetry
    incarnation = f"{settings.host.name}/control/{uuid.uuid4().hex[:12]}"
    events = EventLog(telemetry.level, incarnation=incarnation)
    metrics = statsd_metrics(telemetry.statsd_host(), telemetry.statsd_port)
    identity = FleetIdentity(settings.fleet.name, settings.fleet.key)
    with peer_channels(identity) as channels:
        hosts = (settings.host, *settings.peers)
        caller = KeeperFailover(
            [channels.at(str(host.address), host.keeper_port) for host in hosts]
        )
        async with stop_signal() as stop:
            parts = ControlContext(
                settings=settings,
                caller=caller,
                channels=channels,
                incarnation=incarnation,
                events=events,
                metrics=metrics,
                clock=time.monotonic,
                stopping=stop,
            )
            await ControlProcess(parts).run()


@contextlib.contextmanager
def peer_channels(identity: FleetIdentity) -> Iterator[PeerChannels]:
    """Yield connections to keepers; they are closed with the context."""
    with contextlib.ExitStack() as stack:

        def connect(address: str, port: int) -> RpcCaller:
            client = RpcClient(identity, address, port)
            stack.callback(client.close)
            return client

        yield PeerChannels(connect)
