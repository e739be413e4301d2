"""Handler of ``GET /v1/status``."""

from __future__ import annotations

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.fleet_status import fleet_status
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.keeper_client import KeeperClient


class StatusHandler(Handler):
    """Reports the configuration offset of each entry host and how far it lags."""

    def __init__(self, keeper: KeeperClient, follower: ConfigFollower) -> None:
        self._keeper = keeper
        self._follower = follower

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the status."""
        reply = await self._keeper.entry_hosts()
        return json_response(200, fleet_status(reply, self._follower.copy.offset))
