"""Typed calls of the control process to a keeper."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.call.drain_reply import DrainReply
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.message.call.top_up_reply import TopUpReply
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.process.control.exceptions import (
    KeeperReplyLostError,
    KeeperUnavailableError,
)
from knapweeddrum.rpc.exceptions import (
    PeerRejectedError,
    PeerUnreachableError,
    RpcError,
)
from knapweeddrum.rpc.keeper_methods import BUDGET, CHANGE, CONFIG, DRAIN, ENTRY, TOP_UP
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import RpcCaller

RequestT = TypeVar("RequestT", bound=msgspec.Struct)
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class KeeperClient:
    """Calls a keeper; ``timeout`` is in seconds and ``reader`` names this process.

    All calls raise KeeperUnavailableError when the call was not carried out, and
    KeeperReplyLostError when it may have been.
    """

    def __init__(self, caller: RpcCaller, reader: str, timeout: float) -> None:
        self._caller = caller
        self._reader = reader
        self._timeout = timeout

    async def config(self, after: int, wait: float) -> ConfigReply:
        """Return the changes after an offset; the keeper waits ``wait`` s for one."""
        request = ConfigRequest(after=after, wait=wait, reader=self._reader)
        return await self._call(CONFIG, request, wait + self._timeout)

    async def change(self, request: ChangeRequest) -> ChangeReply:
        """Return the verdict on a change."""
        return await self._call(CHANGE, request, self._timeout)

    async def top_up(self, request: TopUpRequest) -> TopUpReply:
        """Return the verdict on a deposit."""
        return await self._call(TOP_UP, request, self._timeout)

    async def budgets(self, prefix: str) -> BudgetReply:
        """Return the state of the budgets whose name starts with ``prefix``."""
        return await self._call(BUDGET, BudgetRequest(prefix), self._timeout)

    async def entry_hosts(self) -> EntryReply:
        """Return the entry hosts that the keeper knows."""
        return await self._call(ENTRY, EntryRequest(self._reader), self._timeout)

    async def drain(self, host: str, draining: bool) -> DrainReply:
        """Start or end the drain of ``host``, whose own keeper must be called."""
        return await self._call(DRAIN, DrainRequest(host, draining), self._timeout)

    async def _call(
        self, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> ReplyT:
        try:
            return await self._caller.call(method, request, timeout)
        except (PeerUnreachableError, PeerRejectedError) as exc:
            raise KeeperUnavailableError(str(exc)) from exc
        except RpcError as exc:
            raise KeeperReplyLostError(str(exc)) from exc
