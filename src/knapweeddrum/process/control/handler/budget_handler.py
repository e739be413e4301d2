"""Handler of ``GET /v1/budgets``."""

from __future__ import annotations

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.keeper_client import KeeperClient


class BudgetHandler(Handler):
    """Returns the budgets whose name starts with the parameter ``prefix``."""

    def __init__(self, keeper: KeeperClient) -> None:
        self._keeper = keeper

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return deposited, available, held and billed tokens of each budget."""
        reply = await self._keeper.budgets(req.parameter("prefix"))
        return json_response(200, reply)
