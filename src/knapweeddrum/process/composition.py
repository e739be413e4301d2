"""The composition root: wires settings, clients and tasks of each binary."""

from __future__ import annotations

import uuid

from knapweeddrum.process.control.control_process import ControlProcess
from knapweeddrum.process.control.keeper_failover import KeeperFailover
from knapweeddrum.process.control.rpc_keeper_directory import keeper_directory
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.statsd_metrics import statsd_metrics


async def run_router(settings: Settings) -> None:
    """Run a router until it is told to stop."""


async def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop."""


async def run_control(settings: Settings) -> None:
    """Run a control process until it is told to stop."""
    telemetry = settings.telemetry
    incarnation = f"{settings.host.name}/control/{uuid.uuid4().hex[:12]}"
    events = EventLog(telemetry.level, incarnation=incarnation)
    metrics = statsd_metrics(telemetry.statsd_host(), telemetry.statsd_port)
    identity = FleetIdentity(settings.fleet.name, settings.fleet.key)
    with keeper_directory(identity) as directory:
        hosts = (settings.host, *settings.peers)
        callers = [
            directory.caller(str(host.address), host.keeper_port) for host in hosts
        ]
        caller = KeeperFailover(callers)
        process = ControlProcess(
            settings, caller, directory, incarnation, events, metrics
        )
        await process.run()
