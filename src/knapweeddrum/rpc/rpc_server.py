"""Server side of the calls between processes."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.message_codec import MessageCodec
from knapweeddrum.rpc.rpc_service import RpcService
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import PEER_REJECTED


@contextlib.asynccontextmanager
async def rpc_server(
    service: RpcService,
    identity: FleetIdentity,
    address: str,
    port: int,
    events: EventLog,
) -> AsyncIterator[None]:
    """Serve the service while the context is open; rejects calls of other fleets."""

    async def check(event: RecvRequest) -> None:
        headers = {str(name): str(value) for name, value in event.metadata.items()}
        wrong = identity.mismatch(headers)
        if not wrong:
            return
        events.emit(PEER_REJECTED, mismatch=wrong, method=event.method_name)
        raise GRPCError(Status.UNAUTHENTICATED, f"wrong {wrong}")

    server = Server([service], codec=MessageCodec())
    listen(server, RecvRequest, check)
    await server.start(address, port)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
