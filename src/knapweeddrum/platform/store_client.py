"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections.abc import Callable, Sequence

import anyio
import msgspec

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.http.exceptions import ExchangeError, NoReplyError, NotSentError
from knapweeddrum.http.header_list import Header
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    MalformedRecordError,
    RecordsExpiredError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import decode_page, encode_records
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage

CONNECT_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 0.9
"""Time limit of a call, added to the time that it may wait for records."""
MAX_CONNECTIONS = 8
MAX_PAGE_BYTES = 4 * 1024 * 1024
REQUESTED_PAGE_KB = 1024

PARTITION = 0
"""The fleet's streams have a single partition."""

OK = 200
GONE = 410
CONDITION_FAILED = 412
NOT_EXECUTED_STATUSES = frozenset({400, 403, 404, 409, 429, 503, 507})
"""Statuses of an append that mean that the store wrote nothing."""


class _ListedItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: int


class _Listing(msgspec.Struct, frozen=True):
    items: tuple[_ListedItem, ...]
    end: int
    more: bool = msgspec.field(name="hasMore", default=False)


class _Appended(msgspec.Struct, frozen=True):
    offset: int
    end: int


class _Expired(msgspec.Struct, frozen=True):
    first: int


class StoreClient:
    """Appends to and reads from keyed streams; it never retries a call.

    ``on_call`` is called after each call with its kind (``append``, ``read`` or
    ``newest``) and outcome: the reply's status, ``not_sent`` or ``no_reply``.
    """

    def __init__(
        self, address: str, pool: ConnectionPool, on_call: Callable[[str, str], None]
    ) -> None:
        self.address = address
        self._pool = pool
        self._on_call = on_call

    async def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none, and return the offset that follows them.

        If ``expected_end`` is given and the stream ends elsewhere, raises
        ConditionFailedError. Raises LogUnavailableError if nothing was written, and
        AppendUnknownError if the records may have been written or may still be.
        """
        query: dict[str, object] = {"topic": stream, "part": PARTITION}
        if expected_end is not None:
            query["at"] = expected_end
        target = _target("/-/log-append", query)
        try:
            status, body = await self._call(
                "append", b"POST", target, encode_records(records), 0.0
            )
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except NoReplyError as exc:
            raise AppendUnknownError(str(exc)) from exc
        if status == CONDITION_FAILED:
            raise ConditionFailedError(stream)
        if status in NOT_EXECUTED_STATUSES:
            raise LogUnavailableError(f"append refused with status {status}")
        if status != OK:
            raise AppendUnknownError(f"append answered with status {status}")
        try:
            return msgspec.json.decode(body, type=_Appended).end
        except msgspec.MsgspecError as exc:
            raise AppendUnknownError(f"malformed reply to an append: {exc}") from exc

    async def read(self, stream: str, start: int, wait: float = 0.0) -> StorePage:
        """Return records from offset ``start`` on.

        A read at the end of the stream waits up to ``wait`` seconds for a record.
        Raises RecordsExpiredError and LogUnavailableError.
        """
        query = {
            "topic": stream,
            "part": PARTITION,
            "from": start,
            "maxKb": REQUESTED_PAGE_KB,
            "waitMs": int(wait * 1000),
        }
        status, body = await self._read_call("read", "/-/log-read", query, wait)
        try:
            if status == GONE:
                first = msgspec.json.decode(body, type=_Expired).first
                raise RecordsExpiredError(first)
            if status != OK:
                raise LogUnavailableError(f"read answered with status {status}")
            return decode_page(body, start)
        except (msgspec.MsgspecError, MalformedRecordError) as exc:
            raise LogUnavailableError(f"malformed page: {exc}") from exc

    async def list_newest(self, stream: str) -> StoreListing:
        """Return the newest record of each key, read page by page.

        ``next_offset`` is the end of the stream as of the first page, as records that
        were appended after that may be missing from the listing.
        Raises LogUnavailableError.
        """
        records: list[KeyedRecord] = []
        listing_end: int | None = None
        after = ""
        while True:
            listing = await self._read_listing(stream, after)
            records += [_decode_item(item) for item in listing.items]
            listing_end = listing.end if listing_end is None else listing_end
            if not listing.more or not listing.items:
                return StoreListing(tuple(records), listing_end)
            after = listing.items[-1].key

    async def _read_listing(self, stream: str, after: str) -> _Listing:
        query: dict[str, object] = {"topic": stream, "part": PARTITION}
        if after:
            query["after"] = after
        status, body = await self._read_call("newest", "/-/log-newest", query, 0.0)
        if status != OK:
            raise LogUnavailableError(f"listing answered with status {status}")
        try:
            return msgspec.json.decode(body, type=_Listing)
        except msgspec.MsgspecError as exc:
            raise LogUnavailableError(f"malformed listing: {exc}") from exc

    async def _read_call(
        self, kind: str, path: str, query: dict[str, object], wait: float
    ) -> tuple[int, bytes]:
        try:
            return await self._call(kind, b"GET", _target(path, query), b"", wait)
        except ExchangeError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def _call(
        self, kind: str, method: bytes, target: bytes, body: bytes, wait: float
    ) -> tuple[int, bytes]:
        """Make one call; raises NotSentError and NoReplyError."""
        outcome = "no_reply"
        lease = self._pool.lease(
            self.address, self.address, MAX_CONNECTIONS, CONNECT_TIMEOUT_SECONDS
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS + wait):
                async with lease as conn:
                    status, reply = await self._exchange(conn, method, target, body)
                    outcome = str(status)
                    return status, reply
        except NotSentError:
            outcome = "not_sent"
            raise
        except TimeoutError as exc:
            raise NoReplyError(f"{self.address}: no reply in time") from exc
        finally:
            self._on_call(kind, outcome)

    async def _exchange(
        self, conn: ClientConnection, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        headers: list[Header] = [(b"Host", self.address.encode())]
        if method == b"POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
        async with conn.exchange(method, target, headers, body) as head:
            return head.status, await conn.read_body(MAX_PAGE_BYTES)


def _target(path: str, query: dict[str, object]) -> bytes:
    return f"{path}?{urllib.parse.urlencode(query)}".encode()


def _decode_item(item: _ListedItem) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Keeps the key in the listing, with a value that every codec rejects.
        value = b"\x00"
    return KeyedRecord(item.key, value, item.offset)
