"""Client of the platform's append-only log over HTTP."""

from __future__ import annotations

import contextlib
import urllib.parse
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.http.exceptions import ExchangeError, NoReplyError, NotSentError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.reply import Reply
from knapweeddrum.http.request import Request
from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.append_reply import AppendReply
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordsExpiredError,
)
from knapweeddrum.platform.expired_reply import ExpiredReply
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.page_reply import PageReply
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

APPEND_TIMEOUT_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 5.0
"""Time of a read without a byte, added to that for which it may wait for a record."""
MAX_READ_SECONDS = 60.0
"""Time limit of a page that comes in part by part."""
PAGE_LIMIT_BYTES = 8 * 1024 * 1024
APPEND_REPLY_LIMIT_BYTES = 4 * 1024

OK = 200
GONE = 410
SERVICE_UNAVAILABLE = 503


class HttpAppendLog(AppendLog):
    """Client of the log at ``http://IP:port``; it never retries a call."""

    def __init__(self, client: ExchangeClient) -> None:
        self._client = client

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator[HttpAppendLog]:
        """Yield a client; leaving the context closes its connections."""
        async with ExchangeClient.connect(address) as client:
            yield cls(client)

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        req = Request(
            method="POST",
            path=self._records_path(stream),
            body=payload,
            headers=(("Content-Type", "application/octet-stream"),),
        )
        try:
            reply = await self._client.exchange(
                req, APPEND_TIMEOUT_SECONDS, APPEND_REPLY_LIMIT_BYTES
            )
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except NoReplyError as exc:
            raise AppendUnknownError(str(exc)) from exc
        return self._decode_offset(reply)

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return at most ``limit`` records; waits up to ``wait`` seconds for one."""
        query = urllib.parse.urlencode({"start": start, "limit": limit, "wait": wait})
        req = Request(
            method="GET", path=f"{self._records_path(stream)}?{query}", reuse=True
        )
        try:
            reply = await self._read_page(req, wait)
        except (ExchangeError, TimeoutError) as exc:
            raise LogUnavailableError(str(exc)) from exc
        try:
            return self._decode_page(reply, start)
        except MalformedDocumentError as exc:
            raise LogUnavailableError(f"malformed page: {exc}") from exc

    async def _read_page(self, req: Request, wait: float) -> Reply:
        """Return the reply; one that goes on coming in isn't begun again."""
        silence = READ_TIMEOUT_SECONDS + wait
        with anyio.fail_after(MAX_READ_SECONDS + wait):
            async with self._client.stream(req, silence) as streamed:
                return Reply(streamed.head, await streamed.read(PAGE_LIMIT_BYTES))

    def _records_path(self, stream: str) -> str:
        return f"/v1/streams/{urllib.parse.quote(stream, safe='')}/records"

    def _decode_offset(self, reply: Reply) -> int:
        if 400 <= reply.status < 500 or reply.status == SERVICE_UNAVAILABLE:
            raise LogUnavailableError(f"append refused with status {reply.status}")
        if reply.status != OK:
            raise AppendUnknownError(f"append answered with status {reply.status}")
        try:
            return decode_json(reply.body, AppendReply).offset
        except MalformedDocumentError as exc:
            raise AppendUnknownError(f"malformed reply to an append: {exc}") from exc

    def _decode_page(self, reply: Reply, start: int) -> LogPage:
        if reply.status == GONE:
            expired = decode_json(reply.body, ExpiredReply)
            raise RecordsExpiredError(expired.first)
        if reply.status != OK:
            raise LogUnavailableError(f"read answered with status {reply.status}")
        return decode_json(reply.body, PageReply).page(start)
