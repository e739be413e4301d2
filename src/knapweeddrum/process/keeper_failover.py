"""RPC client that fails over between keepers."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import RpcCaller

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


KEEPER_AVOIDANCE_SECONDS = 15.0
"""Time for which a keeper that gave no reply is called after all others."""


class KeeperFailover(RpcCaller):
    """Calls the keeper of its own host first and others when it gives no reply.

    A keeper that gave no reply is called last for a while, so that an unresponsive one
    does not delay each call. ``clock`` returns monotonic seconds.

    A call is repeated at another keeper although the first may have executed it: the
    methods that the control process uses carry identifiers that make a repeat harmless.
    """

    def __init__(
        self,
        callers: Sequence[RpcCaller],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._callers = tuple(callers)
        self._clock = clock
        self._avoid_until: dict[RpcCaller, float] = {}

    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Return the first reply; ``timeout`` is for each keeper, in seconds.

        Raises PeerUnreachableError if no keeper could be reached, else RpcError, as
        the call may have been executed.
        """
        errors: list[RpcError] = []
        for caller in self._in_order():
            try:
                reply = await caller.call(method, request, timeout)
            except RpcError as exc:
                self._avoid_until[caller] = self._clock() + KEEPER_AVOIDANCE_SECONDS
                errors.append(exc)
            else:
                self._avoid_until.pop(caller, None)
                return reply
        if all(isinstance(exc, PeerUnreachableError) for exc in errors):
            raise PeerUnreachableError("no keeper can be reached") from errors[-1]
        unanswered = [
            exc for exc in errors if not isinstance(exc, PeerUnreachableError)
        ]
        raise unanswered[0]

    def _in_order(self) -> list[RpcCaller]:
        """Return the callers, those to avoid last."""
        now = self._clock()
        avoided = {c for c, until in self._avoid_until.items() if now < until}
        return sorted(self._callers, key=lambda caller: caller in avoided)
