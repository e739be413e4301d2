"""Locations of running requests, sharded over the keepers by rendezvous hashing."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.process.keeper.locate_registry import LocateRegistry
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import LOCATE

LOCATE_FORWARD_TIMEOUT_SECONDS = 0.3


class LocateManager:
    """Forwards location requests to the keeper that holds the entry."""

    def __init__(
        self,
        membership: MembershipTask,
        peers: PeerChannels,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._registry = LocateRegistry()

    async def handle(self, req: LocateRequest) -> LocateReply:
        """Record or look up where a request runs.

        Uses the registry of this keeper if the responsible keeper can't be reached.
        """
        own = self._membership.hosts()[0]
        owner = self._owner(req.request_key, own)
        if req.forwarded or owner.host == own.host:
            return self._registry.handle(req, self._clock())
        forwarded = LocateRequest(
            request_key=req.request_key,
            router=req.router,
            endpoint=req.endpoint,
            run_id=req.run_id,
            finished=req.finished,
            forwarded=True,
        )
        try:
            return await self._peers.to(owner).call(
                LOCATE, forwarded, LOCATE_FORWARD_TIMEOUT_SECONDS
            )
        except RpcError:
            return self._registry.handle(req, self._clock())

    def _owner(self, request_key: str, own: EntryHost) -> EntryHost:
        hosts = (own, *self._membership.live_peers())
        return max(hosts, key=lambda host: (_weight(host.host, request_key), host.host))


def _weight(host: str, request_key: str) -> int:
    return zlib.crc32(f"{host}\0{request_key}".encode())
