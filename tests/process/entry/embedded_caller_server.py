"""The server for callers' connections, run in a test's own event loop."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import random
import select
import socket
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import cast

import anyio

from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.directory.host_directory import HostDirectory
from knapweeddrum.core.placing.endpoint_states import EndpointStates
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.configuration_codec import decode_configuration
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.endpoint_permits import EndpointPermits
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.lost_connection import LostConnection
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.permit_desk import PermitDesk
from knapweeddrum.process.entry.request_parts import RequestParts
from knapweeddrum.settings.entry_settings import EntrySettings
from knapweeddrum.telemetry.metrics import Metrics
from tests.process.entry.entry_harness import HOST_NAME, KEY, configuration
from tests.process.entry.kept_connection import (
    KeptAnswer,
    KeptConnection,
    request_bytes,
)
from tests.standins.recording_event_log import RecordingEventLog

BEHIND_SECONDS = 0.3
"""Time for which a host that is behind runs nothing; beyond the platform's slack."""
INCARNATION = "host-1/1"


@dataclasses.dataclass(frozen=True, slots=True)
class EmbeddedCallerServer:
    """A server without endpoints, which answers requests for them with 503."""

    ctx: EntryContext
    server: CallerServer

    async def connect(self) -> KeptConnection:
        """Return an idle connection that has carried one request."""
        conn = await KeptConnection.connect(self.ctx.settings.caller_address)
        await conn.send(request("first"))
        answer = await conn.answer()
        assert answer is not None
        assert answer.status == 503
        await self.wait_until_idle()
        return conn

    async def wait_until_idle(self) -> None:
        """Wait until every connection waits for a request."""
        while not all(session._conn.is_waiting for session in self.server._sessions):
            await anyio.sleep(0.01)
        await anyio.sleep(0.05)

    async def wait_until_read(self) -> None:
        """Wait until the transports, but no sessions, have read what was sent."""
        poller = select.poll()
        for session in self.server._sessions:
            poller.register(session._conn._socket.fileno(), select.POLLIN)
        while poller.poll(0):
            await anyio.sleep(0)


def request(attempt: str) -> bytes:
    """Return a request that no endpoint can serve."""
    return request_bytes("/book/1", attempt, HOST_NAME, KEY)


def fall_behind() -> None:
    """Run nothing else for some time, as a host without processor time."""
    time.sleep(BEHIND_SECONDS)


async def answers_of(conns: list[KeptConnection]) -> list[KeptAnswer | None]:
    """Return the next answer of each connection."""
    return [await conn.answer() for conn in conns]


@contextlib.asynccontextmanager
async def embedded_caller_server() -> AsyncIterator[EmbeddedCallerServer]:
    """Serve callers' connections in this event loop."""
    ctx = _context()
    permits = EndpointPermits(
        ctx, cast("PeerClient", SimpleNamespace()), PermitDesk(ctx)
    )
    parts = SimpleNamespace(allocator=None, stream_origins=None, permits=permits)
    server = CallerServer(
        ctx,
        cast("RequestParts", parts),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await _wait_until_listening(ctx.settings.caller_address)
        yield EmbeddedCallerServer(ctx, server)
        tasks.cancel_scope.cancel()


async def _wait_until_listening(address: str) -> None:
    while True:
        with contextlib.suppress(OSError):
            await (await KeptConnection.connect(address)).close()
            return
        await anyio.sleep(0.01)


def _context() -> EntryContext:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    losses, _ = anyio.create_memory_object_stream[LostConnection](1)
    service_list = ServiceList()
    return EntryContext(
        settings=EntrySettings("host-1", "zone-a", "", address, "", None, ""),
        incarnation=INCARNATION,
        store=cast("StoreClient", SimpleNamespace()),
        pool=ConnectionPool(lambda _: None),
        service_list=service_list,
        endpoint_states=EndpointStates(service_list),
        hosts=HostDirectory("host-1"),
        token_accounts=TokenAccounts(INCARNATION),
        token_owners=TokenOwners("host-1"),
        crash_register=CrashRegister(),
        losses=losses,
        claim_witness=ClaimWitness(INCARNATION),
        claim_recovery=ClaimRecovery(INCARNATION),
        predecessor_claims=PredecessorClaims("host-1", INCARNATION),
        placer=Placer(),
        events=RecordingEventLog(),
        metrics=Metrics(),
        rng=random.Random(1),
        configuration=decode_configuration(json.dumps(configuration()).encode()),
    )
