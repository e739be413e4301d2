"""Handler of top-ups."""

from __future__ import annotations

from knapweeddrum.message.call.top_up_reply import TopUpReply
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.exceptions import KeeperReplyLostError
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.top_up_document import TopUpDocument
from knapweeddrum.process.control.model.validation import parse_document
from knapweeddrum.process.control.problems import (
    DEFAULT_RETRY_AFTER_SECONDS,
    invalid,
    not_ready,
    outcome_unknown,
)
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.process.control.top_up_result import TopUpResult
from knapweeddrum.value.resource_kind import ResourceKind


class TopUpHandler(Handler):
    """Deposits tokens into a budget, at most once for each top-up identifier."""

    def __init__(self, keeper: KeeperClient, follower: ConfigFollower) -> None:
        self._keeper = keeper
        self._follower = follower

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the balance once a keeper has read back the deposit from the log."""
        try:
            document = parse_document(TopUpDocument, req.body)
            self._check_budget(document.budget)
        except InvalidDocumentError as exc:
            raise invalid(exc) from exc
        request = TopUpRequest(document.topup_id, document.budget, document.tokens)
        reply = await self._deposit(request)
        result = TopUpResult(
            topup_id=document.topup_id,
            budget=document.budget,
            tokens=document.tokens,
            repeated=reply.repeated,
            balance=reply.balance,
        )
        return json_response(200, result)

    async def _deposit(self, request: TopUpRequest) -> TopUpReply:
        """Return the accepted reply; raises ProblemError."""
        hint = (
            "the deposit may have been applied; repeat it with the top-up id "
            f"{request.topup_id}, which deposits at most once"
        )
        try:
            reply = await self._keeper.top_up(request)
        except KeeperReplyLostError as exc:
            raise outcome_unknown(hint) from exc
        if not reply.accepted:
            raise outcome_unknown(
                hint, reply.retry_after or DEFAULT_RETRY_AFTER_SECONDS
            )
        return reply

    def _check_budget(self, name: str) -> None:
        """Raise InvalidDocumentError unless the budget exists."""
        copy = self._follower.copy
        if not copy.ready:
            raise not_ready("no configuration has been read yet")
        if copy.get(ResourceId(ResourceKind.BUDGET, name)) is None:
            error = FieldError("budget", name, "the name of an existing budget")
            raise InvalidDocumentError((error,))
