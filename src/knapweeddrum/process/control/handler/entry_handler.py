"""Handler of ``GET /v1/entry``."""

from __future__ import annotations

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.keeper_client import KeeperClient


class EntryHandler(Handler):
    """Returns all entry hosts, the machines of the fleet that serve callers.

    They come from a keeper's membership table, with their addresses and states.
    """

    def __init__(self, keeper: KeeperClient) -> None:
        self._keeper = keeper

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the entry hosts."""
        return json_response(200, await self._keeper.entry_hosts())
