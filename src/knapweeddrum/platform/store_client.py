"""Client of the platform's store."""

from __future__ import annotations

import base64
import contextlib
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
from knapweeddrum.platform.store_call import StoreCall
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
class _Question:
    """What a call asks; the answer may be ``wait`` seconds late by its own wish."""

    kind: str
    stream: str
    method: bytes
    target: bytes
    body: bytes = b""
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    era: int


class _Progress:
    """How far a call got; ``began_at`` is in monotonic seconds."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.on_new_connection = True
        self._conn: ClientConnection | None = None
        self._received_before = 0

    def start(self, conn: ClientConnection) -> None:
        """Count what comes in on a connection from now on."""
        self._conn = conn
        self._received_before = conn.received_bytes
        self.on_new_connection = not conn.used

    @property
    def received(self) -> int:
        """Bytes of the answer that have come in."""
        if self._conn is None:
            return 0
        return self._conn.received_bytes - self._received_before


class StoreClient:
    """Appends to and reads from keyed streams; it never retries a call.

    Offsets are given and returned as positions, which tell the era of the store too.
    ``on_receive`` is told the number of bytes of each receive.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        on_receive: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.address = address
        self.era = StoreEra()
        self.on_era_doubt: Callable[[str], None] = _ignore_doubt
        """Called with the reason when an answer is not believed."""
        self.on_call: Callable[[StoreCall], None] = lambda _: None
        """Called with each call that has ended."""
        self._pool = pool
        self._on_receive = on_receive

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
                _Question("append", stream, b"POST", target, encode_records(records))
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
        target = _target("/-/log-read", query)
        reply = await self._read_call(
            _Question("read", stream, b"GET", target, wait=wait)
        )
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
        target = _target("/-/log-newest", query)
        reply = await self._read_call(_Question("newest", stream, b"GET", target))
        if reply.status != OK:
            raise LogUnavailableError(f"listing answered with status {reply.status}")
        try:
            listing = decode_json(reply.body, _Listing)
        except MalformedDocumentError as exc:
            raise LogUnavailableError(f"malformed listing: {exc}") from exc
        return _ListingPage(listing, reply.era)

    async def _read_call(self, question: _Question) -> _Reply:
        try:
            return await self._call(question)
        except (ExchangeError, EraDoubtError) as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def _call(self, question: _Question) -> _Reply:
        """Make one call; raises NotSentError, NoReplyError and EraDoubtError."""
        progress = _Progress(time.monotonic())
        try:
            reply = await self._answer(question, progress)
        except EraDoubtError as exc:
            self._report(question, progress, "era_doubt", exc)
            self.on_era_doubt(str(exc))
            raise
        except NotSentError as exc:
            self._report(question, progress, "not_sent", exc)
            raise
        except NoReplyError as exc:
            self._report(question, progress, "no_reply", exc)
            raise
        self._report(question, progress, str(reply.status))
        return reply

    async def _answer(self, question: _Question, progress: _Progress) -> _Reply:
        due_at = progress.began_at + question.wait
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS + question.wait):
                async with self._lease() as conn:
                    progress.start(conn)
                    return await self._exchange(conn, question)
        except TimeoutError as exc:
            await self._pool.close_silent(self.address, due_at)
            raise NoReplyError(f"{self.address}: no reply in time") from exc

    def _lease(self) -> contextlib.AbstractAsyncContextManager[ClientConnection]:
        return self._pool.lease(
            self.address,
            self.address,
            MAX_CONNECTIONS,
            CONNECT_TIMEOUT_SECONDS,
            self._on_receive,
        )

    async def _exchange(self, conn: ClientConnection, question: _Question) -> _Reply:
        headers: list[Header] = [(b"Host", self.address.encode())]
        if question.method == b"POST":
            headers.append((b"Content-Length", str(len(question.body)).encode()))
        async with conn.exchange(
            question.method, question.target, headers, question.body
        ) as head:
            reply = await conn.read_body(MAX_PAGE_BYTES)
            return _Reply(head.status, reply, self.era.accept(head.headers))

    def _report(
        self,
        question: _Question,
        progress: _Progress,
        outcome: str,
        exc: Exception | None = None,
    ) -> None:
        self.on_call(
            StoreCall(
                question.kind,
                question.stream,
                outcome,
                "" if exc is None else str(exc),
                time.monotonic() - progress.began_at,
                progress.received,
                progress.on_new_connection,
            )
        )


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
