"""RPC within one process; messages are encoded as on the network."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import msgspec

from knapweeddrum.rpc.exceptions import PeerUnreachableError
from knapweeddrum.rpc.message_codec import MessageCodec
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.rpc.rpc_service import RpcService

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)
Handler = Callable[[Any], Awaitable[Any]]


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Number of calls and bytes of their encoded requests and replies."""

    calls: int = 0
    bytes: int = 0


class MemoryNetwork:
    """Connects callers with services by address and port, and counts their calls."""

    def __init__(self, latency: float = 0.0) -> None:
        """``latency`` is the delay of each call, in seconds."""
        self.latency = latency
        self.counts: dict[str, CallCounts] = {}
        self._handlers: dict[tuple[str, int], dict[str, Handler]] = {}

    def serve(self, address: str, port: int, service: RpcService) -> None:
        """Register a service at an address."""
        handlers = {method.path: handler for method, handler in service.handlers()}
        self._handlers[address, port] = handlers

    def end(self, address: str, port: int) -> None:
        """Remove the service at an address."""
        del self._handlers[address, port]

    def connect(self, address: str, port: int) -> RpcCaller:
        """Return a caller of the service at an address."""
        return MemoryCaller(self, address, port)

    def handler(self, address: str, port: int, path: str) -> Handler:
        """Return a handler; raises PeerUnreachableError if no service is registered."""
        handlers = self._handlers.get((address, port))
        if handlers is None:
            raise PeerUnreachableError(f"{address}:{port}")
        return handlers[path]

    def count(self, path: str, size: int) -> None:
        """Count a call and its bytes."""
        counts = self.counts.setdefault(path, CallCounts())
        counts.calls += 1
        counts.bytes += size


class MemoryCaller(RpcCaller):
    """Calls a service of the same process."""

    def __init__(self, network: MemoryNetwork, address: str, port: int) -> None:
        self._network = network
        self._address = address
        self._port = port
        self._codec = MessageCodec()

    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Call the service and return its reply."""
        handler = self._network.handler(self._address, self._port, method.path)
        encoded_request = self._codec.encode(request, method.request_type)
        if self._network.latency:
            await anyio.sleep(self._network.latency)
        reply = await handler(self._codec.decode(encoded_request, method.request_type))
        encoded_reply = self._codec.encode(reply, method.reply_type)
        self._network.count(method.path, len(encoded_request) + len(encoded_reply))
        decoded: ReplyT = self._codec.decode(encoded_reply, method.reply_type)
        return decoded
