"""A caller that moves on to another keeper."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from knapweeddrum.rpc.caller import Caller
from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.method import Method

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class KeeperFailover(Caller):
    """Calls the keeper of the own host first and others when it gives no reply.

    A call is repeated at another keeper though the first may have carried it out: the
    methods that the control process uses carry identifiers that make a repeat harmless.
    """

    def __init__(self, callers: Sequence[Caller]) -> None:
        self._callers = tuple(callers)

    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Return the first reply; ``timeout`` is for each keeper, in seconds."""
        errors: list[RpcError] = []
        for caller in self._callers:
            try:
                return await caller.call(method, request, timeout)
            except RpcError as exc:
                errors.append(exc)
        if all(isinstance(exc, PeerUnreachableError) for exc in errors):
            raise PeerUnreachableError("no keeper can be reached") from errors[-1]
        lost = [exc for exc in errors if not isinstance(exc, PeerUnreachableError)]
        raise lost[0]
