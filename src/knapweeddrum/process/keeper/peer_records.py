"""Log records from the keepers of other hosts."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.fetch_reply import NO_STATE, FetchReply
from knapweeddrum.message.call.fetch_request import FetchRequest
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.record_source import RecordSource
from knapweeddrum.process.keeper.stream_follower import PEER_FETCH_LIMIT_RECORDS
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import FETCH

PEER_FETCH_TIMEOUT_SECONDS = 5.0
FETCH_PEERS_LIMIT = 2


class PeerRecords(RecordSource):
    """Asks a few live peers, in random order, until one has a state."""

    def __init__(
        self,
        live_peers: Callable[[], Sequence[EntryHost]],
        peers: PeerChannels,
        rng: random.Random,
    ) -> None:
        self._live_peers = live_peers
        self._peers = peers
        self._rng = rng

    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return records from ``start`` on or a later state; None if there are none."""
        hosts = list(self._live_peers())
        request = FetchRequest(
            stream=stream, start=start, limit=PEER_FETCH_LIMIT_RECORDS
        )
        for host in self._rng.sample(hosts, min(FETCH_PEERS_LIMIT, len(hosts))):
            try:
                reply = await self._peers.to(host).call(
                    FETCH, request, PEER_FETCH_TIMEOUT_SECONDS
                )
            except RpcError:
                continue
            if reply.position != NO_STATE:
                return reply
        return None
