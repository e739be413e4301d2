"""Interface for calls of remote methods."""

from __future__ import annotations

import abc
from typing import TypeVar

import msgspec

from knapweeddrum.rpc.method import Method

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class RpcCaller(abc.ABC):
    """Calls methods of one process of the fleet, or of any of several."""

    @abc.abstractmethod
    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Return the reply; ``timeout`` is in seconds.

        Raises PeerRejectedError if the peer does not accept this process,
        PeerUnreachableError if no connection could be made, and RpcError if no reply
        arrived; the call may then have been carried out.
        """
