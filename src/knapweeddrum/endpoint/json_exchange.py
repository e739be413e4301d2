"""Short JSON requests to an endpoint, with the errors of the endpoint clients."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from knapweeddrum.endpoint.exceptions import (
    EndpointBusyError,
    EndpointConnectError,
    EndpointError,
    InvalidRequestError,
    UnknownRunError,
)
from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.reply_head import ReplyHead
from knapweeddrum.http.request import Request
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

JSON_EXCHANGE_TIMEOUT_SECONDS = 5.0
JSON_REPLY_LIMIT_BYTES = 1024 * 1024

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
TOO_LARGE = 413
UNPROCESSABLE = 422
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


class JsonExchange:
    """Sends short requests to one endpoint and decodes the replies."""

    def __init__(self, client: ExchangeClient) -> None:
        self._client = client

    async def call(
        self,
        req: Request,
        reply_type: type[ReplyT],
        timeout: float = JSON_EXCHANGE_TIMEOUT_SECONDS,
    ) -> ReplyT:
        """Return the decoded reply; ``timeout`` is in seconds.

        Raises EndpointConnectError if the request was not sent, the error of
        check_status for a status other than 200, and otherwise EndpointError.
        """
        try:
            reply = await self._client.exchange(req, timeout, JSON_REPLY_LIMIT_BYTES)
        except NotSentError as exc:
            raise EndpointConnectError(str(exc)) from exc
        except NoReplyError as exc:
            raise EndpointError(str(exc)) from exc
        check_status(reply.head)
        try:
            return decode_json(reply.body, reply_type)
        except MalformedDocumentError as exc:
            raise EndpointError(f"malformed reply: {exc}") from exc


def check_status(head: ReplyHead) -> None:
    """Raise the EndpointError that matches a status other than 200."""
    if head.status == OK:
        return
    message = f"endpoint answered with status {head.status}"
    if head.status in {TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE}:
        raise EndpointBusyError(message, head.retry_after)
    if head.status in {BAD_REQUEST, TOO_LARGE, UNPROCESSABLE}:
        raise InvalidRequestError(message)
    if head.status == NOT_FOUND:
        raise UnknownRunError(message)
    raise EndpointError(message)
