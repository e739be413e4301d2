from __future__ import annotations

from knapweeddrum.rpc.keeper_methods import BUDGET, CHANGE, CONFIG, DRAIN, ENTRY, TOP_UP
from knapweeddrum.rpc.rpc_service import RpcService
from tests.standins.fake_keeper import FakeKeeper


class FakeKeeperService(RpcService):
    """Offers the methods of a fake keeper over RPC to other processes."""

    def __init__(self, keeper: FakeKeeper) -> None:
        self._keeper = keeper

    def handlers(self):
        methods = (CONFIG, CHANGE, TOP_UP, BUDGET, ENTRY, DRAIN)
        return [(method, self._handler(method)) for method in methods]

    def _handler(self, method):
        async def handle(request):
            return await self._keeper.call(method, request, 5.0)

        return handle
