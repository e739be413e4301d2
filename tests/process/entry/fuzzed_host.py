"""A host without a network that reads what other writers wrote, and goes on."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec

from knapweeddrum.core.placing.placer import PlacementRequest
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.server_connection import ReceivedRequest
from knapweeddrum.platform.caller_protocol import decode_request
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.configuration_reader import ConfigurationReader
from knapweeddrum.process.entry.crash_record_reader import CrashRecordReader
from knapweeddrum.process.entry.crash_sharing import CrashSharing
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.host_reader import HostReader
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.permit_desk import PermitDesk
from knapweeddrum.process.entry.refused_error import RefusedError
from knapweeddrum.process.entry.request_admission import RequestAdmission
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from knapweeddrum.process.entry.sighting_task import SightingTask
from knapweeddrum.process.entry.spending_task import SpendingTask
from knapweeddrum.process.entry.stream_origin_sharing import StreamOriginSharing
from knapweeddrum.process.entry.stream_read import StreamRead
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_borrower import TokenBorrower
from knapweeddrum.process.entry.token_claim_log import TokenClaimLog
from knapweeddrum.process.entry.token_lender import TokenLender
from knapweeddrum.process.entry.token_unlocker import TokenUnlocker
from knapweeddrum.process.entry.token_witness import (
    TokenWitness,
    release_claims_of_failed_hosts,
)
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.process.entry.entry_harness import HOST_NAME, KEY, ORGANISATION

PATHS = ("/draft/1", "/query/1", "/book/1", "/read/1", "/")
SERVICES = ("engine", "stock")


class FuzzedHost:
    """Readers of all streams and the pages for other hosts, of one context."""

    def __init__(self) -> None:
        store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
        self.ctx = make_context(0, ClaimRacePlan(hosts=3), store)
        peers = PeerClient(self.ctx)
        self._view = FleetView(self.ctx)
        self._configuration = ConfigurationReader(self.ctx)
        self._hosts = HostReader(self.ctx, self._view)
        self._services = ServiceListReader(self.ctx)
        self._crashes = CrashRecordReader(self.ctx)
        self._claims = TokenClaimLog(self.ctx)
        self._position = 100
        allocator = TokenAllocator(
            self.ctx,
            TokenUnlocker(self.ctx, peers),
            TokenBorrower(self.ctx, peers),
            SpendingTask(self.ctx),
        )
        self._spending = SpendingTask(self.ctx)
        lender = TokenLender(self.ctx, allocator)
        witness = TokenWitness(self.ctx, peers)
        permits = PermitDesk(self.ctx)
        sightings = SightingTask(self.ctx, peers, self._view)
        crashes = CrashSharing(self.ctx, peers, self._crashes)
        origins = StreamOriginSharing(self.ctx, peers)
        self.pages: dict[str, Callable[[bytes], Awaitable[PageAnswer]]] = {
            "loan": lender.lend,
            "return": lender.take_back,
            "unlock": witness.unlock,
            "leave": witness.record_leave,
            "permit": permits.answer,
            "limit": permits.take_news,
            "sighting": sightings.exchange,
            "crashes": crashes.exchange,
            "clear": crashes.clear,
            "notice": origins.receive_notice,
            "question": origins.answer_question,
        }

    def read(self, stream: str, key: str, value: bytes) -> None:
        """Apply one record of a stream, and what follows a read."""
        self._position += 1
        now = time.monotonic()
        record = KeyedRecord(key, value or None, self._position)
        if stream == "claims":
            self._claims._apply_record(self.ctx.token_accounts.ledger, record)
            return
        if stream == "spending":
            self._spending._apply((record,), 0)
            return
        reader = {
            "configuration": self._configuration,
            "hosts": self._hosts,
            "services": self._services,
            "crashes": self._crashes,
        }[stream]
        reader.apply_records([record], now)
        reader.on_up_to_date(StreamRead(now, now, self._position + 1))

    def go_on(self) -> None:
        """Do what a host does with what it knows, on each request and regularly."""
        self._look_at_hosts()
        self._look_at_tokens()
        self._look_at_crashes()
        self._serve()
        for value in self.ctx.gauges().values():
            assert math.isfinite(float(value)) or value == float("inf")

    def _look_at_hosts(self) -> None:
        ctx, now = self.ctx, time.monotonic()
        self._view.refresh(now)
        ctx.hosts.suspects(now)
        ctx.hosts.addresses("own")
        ctx.hosts.demand_share()
        ctx.hosts.writing_names()
        ctx.hosts.recent_incarnations()
        ctx.permit_share(now)
        ctx.fleet_size.share(0.0, now)
        msgspec.json.encode(ctx.own_record(now))
        msgspec.json.encode(ctx.peer_contacts.sightings(now))
        for limit in ctx.endpoint_limits.told(now):
            ctx.endpoint_limits.limit(limit.instance, now)  # type: ignore[arg-type]
            assert limit.age >= 0
        msgspec.json.encode(ctx.endpoint_history.version_record())

    def _look_at_tokens(self) -> None:
        ctx, now = self.ctx, time.monotonic()
        accounts = ctx.token_accounts
        accounts.apply_ledger()
        for organisation in (ORGANISATION, "organisation-0"):
            assert accounts.ledger.claimed(organisation) >= 0
            accounts.max_reservable(organisation, now)
            accounts.plenty(organisation, now)
            ctx.token_holders(organisation)
        accounts.plan_claims({}, accounts.prepaid_organisations(), now, ["host-1/1"])
        accounts.record_not_written()
        release_claims_of_failed_hosts(ctx)
        for claim in ctx.predecessor_claims.releases(accounts.ledger):
            assert 0 <= claim.committed <= claim.claimed

    def _look_at_crashes(self) -> None:
        register, now = self.ctx.crash_register, time.time()
        for fingerprint in register.fingerprints(now):
            register.crash_count(fingerprint, now)
        register.avoided_endpoints(now)
        register.blamed_part(("aa", "bb"), now)
        register.expire(now)
        msgspec.json.encode(register.newest_records())
        register.changes(0)

    def _serve(self) -> None:
        admission, now = RequestAdmission(self.ctx), time.monotonic()
        for path in PATHS:
            try:
                admission.admit(decode_request(_request(path)), b"", now)
            except RefusedError:
                continue
        for service in SERVICES:
            states = self.ctx.endpoint_states.of_service(service)
            self.ctx.placer.choose(states, PlacementRequest(session="s"), now)
            self.ctx.placer.choose(states, PlacementRequest(), now)


def _request(path: str) -> ReceivedRequest:
    headers = [
        (b"Host", HOST_NAME.encode()),
        (b"Attempt-Id", b"a"),
        (b"Authorization", b"Bearer " + KEY.encode()),
        (b"Token-Usage", b"10,20"),
    ]
    return ReceivedRequest(b"POST", path.encode(), HeaderList(headers))
