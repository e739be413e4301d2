"""The RPC methods that a keeper serves."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.drain_reply import DrainReply
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.message.call.fetch_request import FetchRequest
from knapweeddrum.message.call.transfer_reply import TransferReply
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.process.keeper.keeper_parts import KeeperParts
from knapweeddrum.rpc import keeper_methods
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_service import RpcService

DRAIN_FORWARD_TIMEOUT_SECONDS = 2.0


class KeeperService(RpcService):
    """Dispatches each call to the component that answers it."""

    def __init__(self, parts: KeeperParts) -> None:
        self._parts = parts

    def handlers(
        self,
    ) -> list[tuple[Method[Any, Any], Callable[[Any], Awaitable[Any]]]]:
        """Return the methods with their handlers."""
        parts = self._parts
        return [
            (keeper_methods.DRAW, parts.grants.draw),
            (keeper_methods.SETTLE, parts.settlements.settle),
            (keeper_methods.CLAIM, parts.claims.claim),
            (keeper_methods.OUTCOME, parts.claims.record),
            (keeper_methods.CONFIG, parts.config.read),
            (keeper_methods.CHANGE, parts.config.change),
            (keeper_methods.TOP_UP, parts.budgets.top_up),
            (keeper_methods.LOCATE, parts.locate.handle),
            (keeper_methods.BUDGET, self._budget),
            (keeper_methods.ENTRY, self._entry),
            (keeper_methods.DRAIN, self._drain),
            (keeper_methods.EXCHANGE, self._exchange),
            (keeper_methods.FETCH, self._fetch),
            (keeper_methods.TRANSFER, self._transfer),
            (keeper_methods.UNLOCK, parts.witness.unlock),
        ]

    async def _budget(self, req: BudgetRequest) -> BudgetReply:
        return self._parts.budgets.read(req)

    async def _entry(self, req: EntryRequest) -> EntryReply:
        membership = self._parts.membership
        membership.crashes.merge(req.crashes)
        batch = membership.crashes.changes(req.crashes_after)
        return EntryReply(
            hosts=membership.hosts(),
            offset=self._parts.config.offset_in_force(),
            crashes=batch.records,
            crashes_version=batch.version,
        )

    async def _drain(self, req: DrainRequest) -> DrainReply:
        membership = self._parts.membership
        own, *others = membership.hosts()
        if req.host == own.host:
            membership.set_drain(req.source, req.draining)
            return DrainReply(accepted=True)
        for host in others:
            if host.host == req.host:
                return await self._parts.peers.to(host).call(
                    keeper_methods.DRAIN, req, DRAIN_FORWARD_TIMEOUT_SECONDS
                )
        raise RpcError(f"unknown host {req.host}")

    async def _exchange(self, req: ExchangeRequest) -> ExchangeReply:
        return self._parts.membership.merge_heartbeats(req)

    async def _fetch(self, req: FetchRequest) -> FetchReply:
        follower = self._parts.followers.get(req.stream)
        if follower is None:
            return FetchReply(records=())
        return follower.records_for_peer(req.start, req.limit)

    async def _transfer(self, req: TransferRequest) -> TransferReply:
        return await self._parts.grants.transfer(req)
