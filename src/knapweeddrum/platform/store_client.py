"""Client of the platform's store."""

from __future__ import annotations

import base64
import dataclasses
import time
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
    EraDoubtError,
    LogUnavailableError,
    MalformedRecordError,
    RecordsExpiredError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import decode_page, encode_records
from knapweeddrum.platform.store_era import StoreEra
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.store_position import Offset, era_of, offset_of, store_position

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
    offset: Offset


class _Listing(msgspec.Struct, frozen=True):
    items: tuple[_ListedItem, ...]
    end: Offset
    more: bool = msgspec.field(name="hasMore", default=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _ListingPage:
    listing: _Listing
    era: int


class _Appended(msgspec.Struct, frozen=True):
    offset: Offset
    end: Offset


class _ConditionFailed(msgspec.Struct, frozen=True):
    end: Offset


class _Expired(msgspec.Struct, frozen=True):
    first: Offset


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    era: int


class StoreClient:
    """Appends to and reads from keyed streams; it never retries a call.

    Offsets are given and returned as positions, which tell the era of the store too.
    ``on_call`` is called after each call with its kind (``append``, ``read`` or
    ``newest``) and outcome: the reply's status, ``not_sent``, ``no_reply`` or
    ``era_doubt``.
    """

    def __init__(
        self, address: str, pool: ConnectionPool, on_call: Callable[[str, str], None]
    ) -> None:
        self.address = address
        self.era = StoreEra()
        self.on_era_doubt: Callable[[str], None] = _ignore_doubt
        """Called with the reason when an answer is not believed."""
        self._pool = pool
        self._on_call = on_call

    async def append(
        self,
        stream: str,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none, and return the position that follows them.

        If ``expected_end`` is given and the stream ends elsewhere, raises
        ConditionFailedError. Raises LogUnavailableError if nothing was written, and
        AppendUnknownError if the records may have been written or may still be, or
        were in another era than that of ``expected_end``. Raises StoreReturnedError
        if that era is known to be over.
        """
        query: dict[str, object] = {"topic": stream, "part": PARTITION}
        if expected_end is not None:
            self._check_era(expected_end)
            query["at"] = offset_of(expected_end)
        target = _target("/-/log-append", query)
        try:
            reply = await self._call(
                "append", b"POST", target, encode_records(records), 0.0
            )
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except (NoReplyError, EraDoubtError) as exc:
            raise AppendUnknownError(str(exc)) from exc
        if reply.status in NOT_EXECUTED_STATUSES:
            raise LogUnavailableError(f"append refused with status {reply.status}")
        if reply.status == CONDITION_FAILED:
            raise ConditionFailedError(stream, _end_of_stream(reply))
        if reply.status != OK:
            raise AppendUnknownError(f"append answered with status {reply.status}")
        if expected_end is not None and not _is_of_era(expected_end, reply.era):
            raise AppendUnknownError(f"append carried out in era {reply.era}")
        try:
            end = decode_json(reply.body, _Appended).end
        except MalformedDocumentError as exc:
            raise AppendUnknownError(f"malformed reply to an append: {exc}") from exc
        return store_position(reply.era, end)

    async def read(self, stream: str, start: int, wait: float = 0.0) -> StorePage:
        """Return records from position ``start`` on.

        A read at the end of the stream waits up to ``wait`` seconds for a record.
        Raises RecordsExpiredError, StoreReturnedError and LogUnavailableError.
        """
        self._check_era(start)
        query = {
            "topic": stream,
            "part": PARTITION,
            "from": offset_of(start),
            "maxKb": REQUESTED_PAGE_KB,
            "waitMs": int(wait * 1000),
        }
        reply = await self._read_call("read", "/-/log-read", query, wait)
        if not _is_of_era(start, reply.era):
            raise StoreReturnedError(reply.era)
        try:
            if reply.status == GONE:
                first = decode_json(reply.body, _Expired).first
                raise RecordsExpiredError(first)
            if reply.status != OK:
                raise LogUnavailableError(f"read answered with status {reply.status}")
            position = store_position(reply.era, offset_of(start))
            return decode_page(reply.body, position)
        except (MalformedDocumentError, MalformedRecordError) as exc:
            raise LogUnavailableError(f"malformed page: {exc}") from exc

    async def list_newest(self, stream: str) -> StoreListing:
        """Return the newest record of each key, read page by page.

        ``next_offset`` is the end of the stream as of the first page, as records that
        were appended after that may be missing from the listing.
        Raises LogUnavailableError.
        """
        first = await self._read_listing(stream, "")
        pages = [first]
        while pages[-1].listing.more and pages[-1].listing.items:
            after = pages[-1].listing.items[-1].key
            pages.append(await self._read_listing(stream, after))
            if pages[-1].era != first.era:
                raise LogUnavailableError("the store returned during a listing")
        items = [item for page in pages for item in page.listing.items]
        records = [_decode_item(item, first.era) for item in items]
        end = store_position(first.era, first.listing.end)
        return StoreListing(tuple(records), end)

    def _check_era(self, position: int) -> None:
        """Raise StoreReturnedError for a position of an earlier era."""
        if not _is_of_era(position, self.era.current):
            raise StoreReturnedError(self.era.current)

    async def _read_listing(self, stream: str, after: str) -> _ListingPage:
        query: dict[str, object] = {"topic": stream, "part": PARTITION}
        if after:
            query["after"] = after
        reply = await self._read_call("newest", "/-/log-newest", query, 0.0)
        if reply.status != OK:
            raise LogUnavailableError(f"listing answered with status {reply.status}")
        try:
            listing = decode_json(reply.body, _Listing)
        except MalformedDocumentError as exc:
            raise LogUnavailableError(f"malformed listing: {exc}") from exc
        return _ListingPage(listing, reply.era)

    async def _read_call(
        self, kind: str, path: str, query: dict[str, object], wait: float
    ) -> _Reply:
        try:
            return await self._call(kind, b"GET", _target(path, query), b"", wait)
        except (ExchangeError, EraDoubtError) as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def _call(
        self, kind: str, method: bytes, target: bytes, body: bytes, wait: float
    ) -> _Reply:
        """Make one call; raises NotSentError, NoReplyError and EraDoubtError."""
        outcome = "no_reply"
        due_at = time.monotonic() + wait
        lease = self._pool.lease(
            self.address, self.address, MAX_CONNECTIONS, CONNECT_TIMEOUT_SECONDS
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS + wait):
                async with lease as conn:
                    reply = await self._exchange(conn, method, target, body)
                    outcome = str(reply.status)
                    return reply
        except EraDoubtError as exc:
            outcome = "era_doubt"
            self.on_era_doubt(str(exc))
            raise
        except NotSentError:
            outcome = "not_sent"
            raise
        except TimeoutError as exc:
            await self._pool.close_silent(self.address, due_at)
            raise NoReplyError(f"{self.address}: no reply in time") from exc
        finally:
            self._on_call(kind, outcome)

    async def _exchange(
        self, conn: ClientConnection, method: bytes, target: bytes, body: bytes
    ) -> _Reply:
        headers: list[Header] = [(b"Host", self.address.encode())]
        if method == b"POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
        async with conn.exchange(method, target, headers, body) as head:
            reply = await conn.read_body(MAX_PAGE_BYTES)
            return _Reply(head.status, reply, self.era.accept(head.headers))


def _target(path: str, query: dict[str, object]) -> bytes:
    return f"{path}?{urllib.parse.urlencode(query)}".encode()


def _is_of_era(position: int, era: int) -> bool:
    """Return whether a position is valid; that of the beginning is in all eras."""
    return not position or era_of(position) == era


def _end_of_stream(reply: _Reply) -> int | None:
    """Return where a stream ends by the answer to an append that came too late."""
    try:
        end = decode_json(reply.body, _ConditionFailed).end
    except MalformedDocumentError:
        return None
    return store_position(reply.era, end)


def _ignore_doubt(_reason: str) -> None:
    return None


def _decode_item(item: _ListedItem, era: int) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Keeps the key in the listing, with a value that every codec rejects.
        value = b"\x00"
    return KeyedRecord(item.key, value, store_position(era, item.offset))
