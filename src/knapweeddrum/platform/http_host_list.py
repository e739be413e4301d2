"""Client of the platform's host list over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from knapweeddrum.http.exceptions import ExchangeError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.request import Request
from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.host_list import HostList
from knapweeddrum.platform.hosts_reply import HostsReply
from knapweeddrum.platform.listed_host import ListedHost
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

HOSTS_TIMEOUT_SECONDS = 5.0
HOSTS_LIMIT_BYTES = 1024 * 1024

OK = 200


class HttpHostList(HostList):
    """Client of the host list at ``http://IP:port``."""

    def __init__(self, client: ExchangeClient) -> None:
        self._client = client

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator[HttpHostList]:
        """Yield a client; leaving the context closes its connections."""
        async with ExchangeClient.connect(address) as client:
            yield cls(client)

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the list; raises PlatformError."""
        req = Request(method="GET", path="/v1/hosts", reuse=True)
        try:
            reply = await self._client.exchange(
                req, HOSTS_TIMEOUT_SECONDS, HOSTS_LIMIT_BYTES
            )
        except ExchangeError as exc:
            raise PlatformError(str(exc)) from exc
        if reply.status != OK:
            raise PlatformError(f"host list answered with status {reply.status}")
        try:
            return decode_json(reply.body, HostsReply).listed_hosts()
        except MalformedDocumentError as exc:
            raise PlatformError(f"malformed host list: {exc}") from exc
