"""Client of the platform's weight store over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec

from knapweeddrum.http.exceptions import ExchangeError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.request import Request
from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.fetch_body import FetchBody
from knapweeddrum.platform.weight_store import WeightStore

FETCH_TIMEOUT_SECONDS = 5.0
FETCH_REPLY_LIMIT_BYTES = 64 * 1024

OK = 200
TOO_MANY_REQUESTS = 429


class HttpWeightStore(WeightStore):
    """The weight store at ``http://IP:port``."""

    def __init__(self, client: ExchangeClient) -> None:
        self._client = client

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator[HttpWeightStore]:
        """Own the connections to the weight store."""
        async with ExchangeClient.connect(address) as client:
            yield cls(client)

    async def reserve_fetch(self, model: str, version: str) -> float:
        """Reserve a fetch; return 0.0 when admitted, else seconds to wait."""
        req = Request(
            method="POST",
            path="/v1/fetches",
            body=msgspec.json.encode(FetchBody(model=model, version=version)),
            headers=(("Content-Type", "application/json"),),
        )
        try:
            reply = await self._client.exchange(
                req, FETCH_TIMEOUT_SECONDS, FETCH_REPLY_LIMIT_BYTES
            )
        except ExchangeError as exc:
            raise PlatformError(str(exc)) from exc
        if reply.status == TOO_MANY_REQUESTS:
            return reply.head.retry_after
        if reply.status != OK:
            raise PlatformError(f"weight store answered with status {reply.status}")
        return 0.0
