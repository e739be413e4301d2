"""Builds and runs the entry process from its settings.

Separate from composition.py, so that an entry process imports only what it uses.
"""

from __future__ import annotations

import pathlib
import random
import sys
import time

import anyio

from knapweeddrum.core.admission.crash_evidence import EVIDENCE_LIFETIME_SECONDS
from knapweeddrum.core.admission.crash_policy import MAX_CRASHES, CrashPolicy
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.catalog.service_list import ServiceList, lapse_grace
from knapweeddrum.core.directory.host_directory import HostDirectory
from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.core.load.link_sources import LinkSources
from knapweeddrum.core.membership.new_incarnation import new_incarnation
from knapweeddrum.core.placing.endpoint_states import EndpointStates
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.entry_process import EntryProcess
from knapweeddrum.process.entry.lost_connection import (
    MAX_WAITING_REPORTS,
    LostConnection,
)
from knapweeddrum.process.entry.path_connector import PathConnector
from knapweeddrum.process.entry.shed_log import ShedLog
from knapweeddrum.process.entry.store_call_log import StoreCallLog
from knapweeddrum.process.entry.tunnel_client import TunnelClient
from knapweeddrum.settings.entry_settings import EntrySettings
from knapweeddrum.telemetry.bounded_writer import BoundedWriter
from knapweeddrum.telemetry.counters import CONNECTIONS_OPENED, SESSION_MOVED
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.line_logger import LineLogger
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.identifiers import HostName
from knapweeddrum.value.link_source import LinkSource

CRASH_POLICY = CrashPolicy(
    suspect_crashes=2,
    sole_suspect_crashes=MAX_CRASHES,
    same_crash_seconds=float("inf"),
    cut_memory_seconds=EVIDENCE_LIFETIME_SECONDS,
    acquits=True,
)
"""Endpoints are named by their starts here, so that each name crashes once."""


async def run_entry(
    settings: EntrySettings, settings_path: pathlib.Path, level: str, metrics_port: int
) -> None:
    """Run an entry process until it is told to stop."""
    rng = random.SystemRandom()
    incarnation = new_incarnation(
        HostName(settings.host_name), "entry", time.time_ns() // 1_000_000, rng
    )
    writer = BoundedWriter(sys.stdout.fileno())
    metrics = Metrics()
    link_load = LinkLoad(settings.link_mbps)
    link_sources = LinkSources()
    pool = ConnectionPool(lambda _: metrics.count(CONNECTIONS_OPENED))
    service_list = ServiceList(
        lapse_grace(settings.drain_delay), settings.endpoint_heartbeat_interval
    )
    losses, reported_losses = anyio.create_memory_object_stream[LostConnection](
        MAX_WAITING_REPORTS
    )
    hosts = HostDirectory(settings.host_name)
    ctx = EntryContext(
        settings=settings,
        incarnation=incarnation,
        store=StoreClient(
            settings.store_address,
            pool,
            link_sources.receiver(LinkSource.STORE, link_load),
        ),
        pool=pool,
        service_list=service_list,
        endpoint_states=EndpointStates(service_list),
        hosts=hosts,
        token_accounts=TokenAccounts(incarnation),
        token_owners=TokenOwners(settings.host_name),
        crash_register=CrashRegister(CRASH_POLICY),
        losses=losses,
        claim_witness=ClaimWitness(incarnation),
        claim_recovery=ClaimRecovery(incarnation),
        predecessor_claims=PredecessorClaims(settings.host_name, incarnation),
        placer=Placer(rng, hosts.demand_share, lambda: metrics.count(SESSION_MOVED)),
        events=EventLog(level, LineLogger(writer), incarnation=incarnation),
        metrics=metrics,
        rng=random.Random(rng.getrandbits(64)),
        link_load=link_load,
        link_sources=link_sources,
    )
    shed_log = ShedLog(ctx.connections, ctx.events, metrics)
    ctx.connections.on_shed = shed_log.record_shed
    ctx.connections.on_refused = shed_log.record_refused
    tunnels = TunnelClient(ctx)
    paths = PathConnector(ctx, tunnels)
    ctx.connector = paths
    ctx.apply_host_limits()
    ctx.store.era.on_return = ctx.record_store_return
    ctx.store.on_era_doubt = ctx.record_era_doubt
    store_calls = StoreCallLog(ctx)
    ctx.store.on_call = store_calls.record
    ctx.store.on_late = store_calls.record_late
    await EntryProcess(
        ctx, paths, tunnels, reported_losses, writer, settings_path, metrics_port
    ).run()
