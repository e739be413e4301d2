"""Client side of the calls between processes."""

from __future__ import annotations

from typing import TypeVar

import anyio
import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from knapweeddrum.rpc.exceptions import (
    PeerRejectedError,
    PeerUnreachableError,
    RpcError,
)
from knapweeddrum.rpc.fleet_identity import FleetIdentity
from knapweeddrum.rpc.message_codec import MessageCodec
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.value.documents import MalformedDocumentError

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


_NO_REPLY_ERRORS = (
    OSError,
    StreamTerminatedError,
    TimeoutError,
    MalformedDocumentError,
)
"""Errors after which the call may have been carried out."""


class RpcClient(RpcCaller):
    """Client of one process of the fleet; calls are not retried."""

    def __init__(self, identity: FleetIdentity, address: str, port: int) -> None:
        self.target = f"{address}:{port}"
        self._identity = identity
        self._channel = Channel(address, port, codec=MessageCodec())

    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Return the reply of the peer.

        At a timeout or a lost connection, grpclib cancels the current task and never
        calls ``uncancel``, so any later cancellation of a scope would end that whole
        task. The exchange therefore runs in its own task, not in that of the caller.
        """
        replies: list[ReplyT] = []
        errors: list[RpcError] = []

        async def exchange() -> None:
            try:
                replies.append(await self._exchange(method, request, timeout))
            except RpcError as exc:
                errors.append(exc)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange)
        if replies:
            return replies[0]
        if errors:
            raise errors[0]
        raise RpcError(f"{self.target}: the exchange was cancelled")

    async def _exchange(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        stub = UnaryUnaryMethod(
            self._channel, method.path, method.request_type, method.reply_type
        )
        try:
            reply: ReplyT = await stub(
                request, timeout=timeout, metadata=self._identity.headers()
            )
        except GRPCError as exc:
            if exc.status is Status.UNAUTHENTICATED:
                raise PeerRejectedError(f"{self.target}: {exc.message}") from exc
            raise RpcError(f"{self.target}: {exc.status.name} {exc.message}") from exc
        except ConnectionRefusedError as exc:
            raise PeerUnreachableError(f"{self.target}: {exc!r}") from exc
        except _NO_REPLY_ERRORS as exc:
            raise RpcError(f"{self.target}: {exc!r}") from exc
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()
