"""Interface of a caller of remote methods."""

from __future__ import annotations

import abc
from typing import TypeVar

import msgspec

from knapweeddrum.rpc.method import Method

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class Caller(abc.ABC):
    """Calls methods of one process of the fleet, or of any of several."""

    @abc.abstractmethod
    async def call(
        self,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Return the reply; ``timeout`` is in seconds.

        Raises PeerRejectedError when the peer turns this process away,
        PeerUnreachableError when no connection came about, and RpcError when no reply
        came, in which case the call may have been carried out.
        """
