"""Transfers of tokens from other keepers to this one."""

from __future__ import annotations

import itertools
import random

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import TRANSFER

TRANSFER_TIMEOUT_SECONDS = 0.5
TRANSFER_ATTEMPTS = 2
TRANSFER_PEERS_LIMIT = 3


class TransferClient:
    """Requests slices of grants from peers; each transfer is credited once."""

    def __init__(
        self,
        incarnation: str,
        membership: MembershipTask,
        peers: PeerChannels,
        rng: random.Random,
    ) -> None:
        self._incarnation = incarnation
        self._membership = membership
        self._peers = peers
        self._rng = rng
        self._numbers = itertools.count()

    async def fetch(self, pool: AllowancePool, budget: str, tokens: int) -> None:
        """Ask a few live peers until the pool has ``tokens`` free for the budget."""
        hosts = list(self._membership.live_peers())
        for host in self._rng.sample(hosts, min(TRANSFER_PEERS_LIMIT, len(hosts))):
            missing = tokens - pool.free(budget)
            if missing <= 0:
                return
            transfer_id = f"{self._incarnation}/transfer-{next(self._numbers)}"
            request = TransferRequest(
                transfer_id=transfer_id,
                keeper=self._incarnation,
                budget=budget,
                tokens=missing,
            )
            for _ in range(TRANSFER_ATTEMPTS):
                try:
                    reply = await self._peers.to(host).call(
                        TRANSFER, request, TRANSFER_TIMEOUT_SECONDS
                    )
                except RpcError:
                    # The peer may have debited its pool, so the identifier stays.
                    continue
                pool.credit(transfer_id, reply.allowances)
                pool.forget(transfer_id)
                break
