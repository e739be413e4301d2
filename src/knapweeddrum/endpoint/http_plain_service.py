"""Client of a plain service over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from knapweeddrum.endpoint.exceptions import EndpointConnectError, EndpointError
from knapweeddrum.endpoint.json_exchange import JsonExchange
from knapweeddrum.endpoint.load_reply import LoadReply
from knapweeddrum.endpoint.load_report import LoadReport
from knapweeddrum.endpoint.plain_service import PlainService
from knapweeddrum.endpoint.service_reply import ServiceReply
from knapweeddrum.endpoint.service_request import ServiceRequest
from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.request import Request

REPLY_LIMIT_BYTES = 8 * 1024 * 1024
LOAD_PATH = "/-/load"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class HttpPlainService(PlainService):
    """Client of the service at ``http://IP:port``; each call has its own connection."""

    def __init__(self, client: ExchangeClient) -> None:
        self._client = client
        self._json = JsonExchange(client)

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator[HttpPlainService]:
        """Yield a client and close its connections afterwards."""
        async with ExchangeClient.connect(address) as client:
            yield cls(client)

    async def call(self, req: ServiceRequest, timeout: float) -> ServiceReply:
        """Send a request once and return the answer, whatever its status."""
        http_request = Request(
            method=req.method,
            path=req.path,
            body=req.body,
            headers=self._headers(req),
        )
        try:
            reply = await self._client.exchange(
                http_request, timeout, REPLY_LIMIT_BYTES
            )
        except NotSentError as exc:
            raise EndpointConnectError(str(exc)) from exc
        except NoReplyError as exc:
            raise EndpointError(str(exc)) from exc
        return ServiceReply(
            status=reply.status,
            content_type=reply.head.header("content-type"),
            body=reply.body,
        )

    async def load(self) -> LoadReport:
        """Return the service's load report, which lags behind the actual load."""
        req = Request(method="GET", path=LOAD_PATH, reuse=True)
        return (await self._json.call(req, LoadReply)).report()

    def _headers(self, req: ServiceRequest) -> tuple[tuple[str, str], ...]:
        headers = []
        if req.content_type:
            headers.append(("Content-Type", req.content_type))
        if req.key:
            headers.append((IDEMPOTENCY_KEY_HEADER, req.key))
        return tuple(headers)
