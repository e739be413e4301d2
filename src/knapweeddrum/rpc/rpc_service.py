"""Base class of the services that a process offers to others."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError

from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.method import Method


class RpcService(abc.ABC):
    """A set of unary methods; ``handlers`` maps each to its coroutine function."""

    @abc.abstractmethod
    def handlers(
        self,
    ) -> list[tuple[Method[Any, Any], Callable[[Any], Awaitable[Any]]]]:
        """Return the methods with the functions that serve them."""

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers in the form that grpclib expects."""
        return {
            method.path: Handler(
                self._adapt(function),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, function in self.handlers()
        }

    @staticmethod
    def _adapt(
        function: Callable[[Any], Awaitable[Any]],
    ) -> Callable[[Any], Awaitable[None]]:
        """Return a handler that receives one request and sends the reply."""

        async def handle(stream: Any) -> None:
            request = await stream.recv_message()
            try:
                reply = await function(request)
            except RpcError as exc:
                raise GRPCError(Status.UNAVAILABLE, str(exc)) from exc
            await stream.send_message(reply)

        return handle
