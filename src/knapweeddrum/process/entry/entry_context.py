"""State shared by the tasks of an entry process."""

from __future__ import annotations

import dataclasses
import itertools
import random
import time
from collections.abc import Callable, Iterator

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.emptied_data_centres import EmptiedDataCentres
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.directory.fleet_size import FleetSize
from knapweeddrum.core.directory.host_capacity import host_capacity
from knapweeddrum.core.directory.host_directory import (
    HEARTBEAT_TIMEOUT_SECONDS,
    HostDirectory,
)
from knapweeddrum.core.directory.host_standing import HostStanding
from knapweeddrum.core.directory.peer_contacts import PeerContacts
from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.core.load.link_sources import LinkSources
from knapweeddrum.core.load.loop_lag import LoopLag
from knapweeddrum.core.load.request_rate import RequestRate
from knapweeddrum.core.placing.endpoint_limits import EndpointLimits
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import EndpointStates, instance_name
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.loan_ledger import LoanLedger
from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.core.prepaid.witness_ranking import rank_witnesses
from knapweeddrum.core.routing.endpoint_reach import EndpointReach
from knapweeddrum.core.routing.failover_policy import FailoverPolicy
from knapweeddrum.core.routing.retry_window import RetryWindow
from knapweeddrum.core.streams.endpoint_history import EndpointHistory
from knapweeddrum.core.streams.instance_history import InstanceHistory
from knapweeddrum.core.streams.version_record import VersionRecord
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.process.entry.client_connections import (
    DEFAULT_HOST_LIMITS,
    ClientConnections,
    host_limits,
)
from knapweeddrum.process.entry.endpoint_connector import (
    DirectConnector,
    EndpointConnector,
)
from knapweeddrum.process.entry.lost_connection import LostConnection
from knapweeddrum.process.entry.processor_meter import ProcessorMeter
from knapweeddrum.settings.entry_settings import EntrySettings
from knapweeddrum.telemetry.counters import (
    ACCEPT_FAILED_COUNT,
    ENTRY_IGNORED_COUNT,
    STORE_ERA_DOUBTED_COUNT,
    STORE_RETURNED_COUNT,
)
from knapweeddrum.telemetry.entry_events import (
    ACCEPT_FAILED,
    ENTRY_IGNORED,
    STORE_ERA_DOUBTED,
    STORE_RETURNED,
)
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.link_source import LinkSource
from knapweeddrum.value.store_position import offset_of

MAX_LOGGED_ERROR_CHARS = 300
"""Length up to which an error that quotes a record is logged."""

FRESH_SECONDS = HEARTBEAT_TIMEOUT_SECONDS
"""Age of the known heartbeats up to which this host can't have been left out by others,
and time after which they know of it: no other has claimed without a witness."""

HOST_RETRY_FRACTION = 0.7
"""Fraction of the configured retries per request that each host allows itself."""

HOSTS_RETRY_SLACK_FRACTION = 0.7
"""Fraction of the fleet's retry slack that is split evenly between the hosts."""


@dataclasses.dataclass(slots=True)
class EntryContext:
    """State of one entry process, used only in the event loop's thread.

    Times are in monotonic seconds.
    """

    settings: EntrySettings
    incarnation: str
    store: StoreClient
    pool: ConnectionPool
    service_list: ServiceList
    endpoint_states: EndpointStates
    hosts: HostDirectory
    token_accounts: TokenAccounts
    token_owners: TokenOwners
    crash_register: CrashRegister
    losses: MemoryObjectSendStream[LostConnection]
    """Reports of connections that endpoints ended within an exchange."""
    claim_witness: ClaimWitness
    claim_recovery: ClaimRecovery
    predecessor_claims: PredecessorClaims
    placer: Placer
    events: EventLog
    metrics: Metrics
    rng: random.Random
    configuration: Configuration | None = None
    configuration_read_at: float = float("-inf")
    service_list_read_at: float = float("-inf")
    service_list_read: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    """Set and replaced at each read that brings the list up to date."""
    hosts_read_at: float = float("-inf")
    fleet_known_from: float | None = None
    """Time from which this host knows which others are ready, None before a read."""
    claims_loaded: bool = False
    claims_known_from: float = float("inf")
    """Time from which this host knows all claims; others learn of it soon after."""
    crash_records_loaded: bool = False
    version_record: VersionRecord | None = None
    """What a host wrote last of the services' versions."""
    versions_recalled: bool = False
    """Whether this host has tried to recall them."""
    draining: bool = False
    drain_refuses_from: float = float("inf")
    """Time from which a drain refuses requests that may outlast it."""
    drain_ends_at: float = float("inf")
    """Time at which a drain cuts off requests in progress."""
    endpoint_history: EndpointHistory = dataclasses.field(
        default_factory=EndpointHistory
    )
    instances: InstanceHistory = dataclasses.field(default_factory=InstanceHistory)
    open_attempts: dict[str, EndpointState] = dataclasses.field(default_factory=dict)
    """Endpoints that requests were sent to and that have not answered them whole."""
    reach: EndpointReach = dataclasses.field(default_factory=EndpointReach)
    connector: EndpointConnector = dataclasses.field(default_factory=DirectConnector)
    """Opens all connections to endpoints."""
    attempt_numbers: Iterator[int] = dataclasses.field(default_factory=itertools.count)
    in_progress: int = 0
    last_request_at: float = 0.0
    request_rate: RequestRate = dataclasses.field(default_factory=RequestRate)
    failover_policies: dict[str, FailoverPolicy] = dataclasses.field(
        default_factory=dict
    )
    fleet_size: FleetSize = dataclasses.field(default_factory=FleetSize)
    peer_contacts: PeerContacts = dataclasses.field(default_factory=PeerContacts)
    standing: HostStanding = dataclasses.field(default_factory=HostStanding)
    heartbeat_number: int = 0
    """Number of the last heartbeat that was tried to write."""
    endpoint_limits: EndpointLimits = dataclasses.field(default_factory=EndpointLimits)
    emptied: EmptiedDataCentres = dataclasses.field(default_factory=EmptiedDataCentres)
    loans: LoanLedger = dataclasses.field(default_factory=LoanLedger)
    loop_lag: LoopLag = dataclasses.field(default_factory=LoopLag)
    link_load: LinkLoad = dataclasses.field(default_factory=LinkLoad)
    link_sources: LinkSources = dataclasses.field(default_factory=LinkSources)
    connections: ClientConnections = dataclasses.field(
        default_factory=lambda: ClientConnections(DEFAULT_HOST_LIMITS)
    )
    claim_meter: ProcessorMeter = dataclasses.field(default_factory=ProcessorMeter)
    """Processor time that deciding on claims and applying them takes."""

    def receiver(self, source: LinkSource) -> Callable[[int], None]:
        """Return what is to be told the size of each receive from a source."""
        return self.link_sources.receiver(source, self.link_load)

    def store_age(self, now: float) -> float:
        """Return the seconds since the store last answered a read."""
        reads = (
            self.configuration_read_at,
            self.service_list_read_at,
            self.hosts_read_at,
        )
        return now - max(reads)

    def token_owners_before(self, organisation: str) -> tuple[HostRecord, ...]:
        """Return the hosts to borrow from before this one claims, the owner first.

        There are none if this host is the owner. A host that leaves is no owner any
        more once the others know.
        """
        if time.monotonic() >= self.drain_refuses_from:
            return self.token_owners.others(organisation)
        return self.token_owners.before_self(organisation)

    def listed_instances(self) -> frozenset[EndpointName]:
        """Return the starts of all listed endpoints."""
        return frozenset(instance_name(entry) for entry in self.service_list.all())

    def in_use(self, states: list[EndpointState]) -> list[EndpointState]:
        """Return the endpoints whose data centre was not emptied."""
        return [s for s in states if not self.emptied.is_emptied(s.entry.data_centre)]

    def token_holders(self, organisation: str) -> list[str]:
        """Return the peer addresses of other hosts that may have free tokens."""
        now = time.monotonic()
        names = [
            *self.loans.holders(organisation, now),
            *self.token_accounts.other_holders(organisation),
        ]
        records = [self.hosts.find(name) for name in dict.fromkeys(names)]
        return [record.peer_address for record in records if record is not None]

    def record_accept_failure(self, exc: OSError) -> None:
        """Record that connections can't be accepted; they wait meanwhile."""
        self.metrics.count(ACCEPT_FAILED_COUNT)
        self.events.emit(ACCEPT_FAILED, error=str(exc))

    def apply_host_limits(self) -> None:
        """Use the bounds for memory and descriptors that the settings call for."""
        limits = host_limits(self.settings)
        self.connections.apply(limits)
        self.pool.max_open = limits.outgoing
        self.pool.buffer_bytes = limits.buffer_bytes

    def record_ignored(self, key: str, position: int, error: str) -> None:
        """Record that a record of the store can't be read."""
        self.metrics.count(ENTRY_IGNORED_COUNT)
        self.events.emit(
            ENTRY_IGNORED,
            key=key,
            offset=offset_of(position),
            error=error[:MAX_LOGGED_ERROR_CHARS],
        )

    def permit_share(self, now: float) -> float:
        """Return the part of an endpoint's permits that this host may give as owner.

        One that has not read yet who else lives takes itself for every owner.
        """
        if self.hosts_read_at == float("-inf"):
            return 0.0
        return self.standing.share(
            [host.name for host in self.hosts.running_hosts()],
            self.hosts.writing_names(),
            self.peer_contacts.names(now),
            now,
        )

    def own_record(self, now: float) -> HostRecord:
        """Return this host as its last heartbeat would describe it now."""
        settings = self.settings
        return HostRecord(
            name=settings.host_name,
            incarnation=self.incarnation,
            address=settings.caller_address,
            peer_address=settings.peer_address,
            data_centre=settings.data_centre,
            ready=self.is_ready,
            beat=self.heartbeat_number,
            capacity=host_capacity(settings.processor_cores, settings.link_mbps),
            request_rate=round(self.request_rate.per_second(now), 2),
            limits=self.endpoint_limits.told(now),
            sheds=self.link_load.sheds,
            emptied=self.emptied.told(),
            cut_off=self.reach.is_cut_off,
        )

    def witnesses(self) -> list[str]:
        """Return the incarnations whose consent may unlock tokens, best first."""
        cfg = self.settings
        ready = self.hosts.ready_hosts()
        others = [host for host in self.hosts.running_hosts() if not host.ready]
        return [
            *rank_witnesses(self.incarnation, cfg.data_centre, ready),
            *rank_witnesses(self.incarnation, cfg.data_centre, others),
        ]

    def record_store_return(self, before: int, era: int) -> None:
        """Record that the store has come back from an older copy."""
        now = time.monotonic()
        is_fresh = (
            now - self.hosts_read_at <= FRESH_SECONDS
            and now - self.claims_known_from >= FRESH_SECONDS
        )
        running = self.hosts.recent_incarnations()
        self.claim_recovery.begin_era(era, running, is_fresh=is_fresh)
        self.metrics.count(STORE_RETURNED_COUNT)
        self.events.emit(
            STORE_RETURNED,
            before=before,
            era=era,
            running=len(running),
            is_fresh=is_fresh,
            claims_end=offset_of(self.token_accounts.ledger.end),
        )

    def record_era_doubt(self, reason: str) -> None:
        """Record that an answer of the store is not believed."""
        self.metrics.count(STORE_ERA_DOUBTED_COUNT)
        self.events.emit(STORE_ERA_DOUBTED, reason=reason)

    @property
    def is_ready(self) -> bool:
        """Return whether the process can serve requests."""
        return (
            not self.draining
            and self.configuration is not None
            and self.claims_loaded
            and self.crash_records_loaded
            and self.versions_recalled
            and self.has_read_endpoints_and_hosts
        )

    @property
    def knows_fleet(self) -> bool:
        """Return whether configuration and hosts tell which tokens this host owns."""
        if self.fleet_known_from is None or self.configuration is None:
            return False
        return time.monotonic() >= self.fleet_known_from

    @property
    def has_read_endpoints_and_hosts(self) -> bool:
        """Return whether the process has read the service list and the heartbeats."""
        return min(self.service_list_read_at, self.hosts_read_at) > float("-inf")

    def failover_policy(self, service: str, now: float) -> FailoverPolicy:
        """Return the policy for a service's requests, which share a retry budget.

        The budget follows the settings and the number of hosts.
        """
        cfg = self.settings
        ratio = cfg.retry_ratio * HOST_RETRY_FRACTION
        share = self.fleet_size.share(cfg.retry_window, now)
        slack = cfg.retry_slack * HOSTS_RETRY_SLACK_FRACTION * share
        policy = self.failover_policies.get(service)
        if policy is None:
            budget = RetryWindow(ratio, slack, cfg.retry_window)
            policy = self.failover_policies[service] = FailoverPolicy(self.rng, budget)
        policy.budget.ratio = ratio
        policy.budget.slack = slack
        return policy

    def gauges(self) -> dict[str, float]:
        """Return the current values of the process's gauges."""
        now = time.monotonic()
        version = self.configuration.version if self.configuration else -1
        return {
            "config_version": version,
            "config_age_seconds": now - self.configuration_read_at,
            "service_list_age_seconds": now - self.service_list_read_at,
            "hosts_age_seconds": now - self.hosts_read_at,
            "hosts_ready": self.hosts.host_count(),
            "hosts_in_working_set": len(self.hosts.working_set.names),
            "requests_per_second": self.request_rate.per_second(now),
            "endpoints_listed": len(self.service_list.all()),
            "requests_in_progress": self.in_progress,
            "crash_suspects": len(self.crash_register.fingerprints(time.time())),
            "client_bytes": self.connections.memory.used,
            "caller_connections": self.connections.callers.count,
            "page_connections": self.connections.pages.count,
            "endpoint_connections": self.pool.open_count(),
            "endpoints_unreached": len(self.reach.unreached()),
            "paths_lost": len(self.reach.lost_paths()),
            "cut_off": float(self.reach.is_cut_off),
            "tunnel_sockets": self.pool.reserved,
            "ready": float(self.is_ready),
            "loop_lag_seconds": self.loop_lag.recent(now),
            "link_use": self.link_load.use(now),
            "link_behind_seconds": self.link_load.level(now),
            **{
                f"link_bytes_{source}": float(total)
                for source, total in self.link_sources.totals.items()
            },
            "processor_seconds": time.process_time(),
            "claims_processor_seconds": self.claim_meter.seconds,
        }
