"""Handler that starts and ends the drain of a host."""

from __future__ import annotations

from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.drain_result import DrainResult
from knapweeddrum.process.control.exceptions import KeeperReplyLostError
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.model.drain_document import DrainDocument
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.validation import parse_document
from knapweeddrum.process.control.problems import (
    invalid,
    not_found,
    outcome_unknown,
    unavailable,
)
from knapweeddrum.process.keeper.peer_channels import PeerChannels

DRAIN_CALL_TIMEOUT_SECONDS = 5.0


class DrainHandler(Handler):
    """Sends the request to the keeper of the host, which alone can accept it."""

    def __init__(self, keeper: KeeperClient, channels: PeerChannels) -> None:
        self._keeper = keeper
        self._channels = channels

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return once the keeper of the host has accepted."""
        try:
            document = parse_document(DrainDocument, req.body)
        except InvalidDocumentError as exc:
            raise invalid(exc) from exc
        host = await self._find_host(path_params[0])
        caller = self._channels.to(host)
        keeper = KeeperClient(caller, "", DRAIN_CALL_TIMEOUT_SECONDS)
        try:
            reply = await keeper.drain(host.host, document.draining)
        except KeeperReplyLostError as exc:
            raise outcome_unknown(
                f"no reply from the keeper of {host.host}; retry"
            ) from exc
        if not reply.accepted:
            raise unavailable(f"the keeper of {host.host} refused the drain")
        return json_response(200, DrainResult(host.host, document.draining))

    async def _find_host(self, name: str) -> EntryHost:
        """Return the host of this name; raises ProblemError."""
        reply = await self._keeper.entry_hosts()
        for host in reply.hosts:
            if host.host == name:
                return host
        raise not_found(f"unknown host {name!r}")
