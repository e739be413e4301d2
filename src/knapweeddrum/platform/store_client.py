"""Client of the platform's store."""

from __future__ import annotations

import time
import urllib.parse
from collections.abc import Callable, Sequence

import anyio

from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.http.exceptions import ExchangeError, NoReplyError, NotSentError
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    EraDoubtError,
    LogUnavailableError,
    MalformedRecordError,
    RecordsExpiredError,
    StoreReturnedError,
)
from knapweeddrum.platform.hedged_read import HedgedRead, ReadPatience
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import decode_page, encode_records
from knapweeddrum.platform.store_answers import (
    Appended,
    Expired,
    Listing,
    ListingPage,
    decode_item,
    end_of_stream,
)
from knapweeddrum.platform.store_call import StoreCall, call_error, call_outcome
from knapweeddrum.platform.store_era import StoreEra
from knapweeddrum.platform.store_exchange import ConnectionLease, StoreExchange
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.platform.store_question import StoreQuestion, StoreReply
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.store_position import era_of, offset_of, store_position

CONNECT_TIMEOUT_SECONDS = 0.5
"""Time for a write to connect: after it nothing was written."""
LATE_SECONDS = 0.9
"""Time after which an answer is late, added to that for which the store may wait.

A write is given up then, a read is asked once more on a new connection.
"""
MAX_SILENCE_SECONDS = 4.0
"""Time without a byte after which a read is given up."""
READ_PATIENCE = ReadPatience(LATE_SECONDS, MAX_SILENCE_SECONDS)
MAX_CONNECTIONS = 24
"""Those of five streams that are asked for three times at once, and of writes."""
REQUESTED_PAGE_KB = 1024
FURTHER_PAGE_TRIES = 3
"""Reads of a further page of a listing before all of it is given up."""
FURTHER_PAGE_PAUSE_SECONDS = 0.25

PARTITION = 0
"""The fleet's streams have a single partition."""

OK = 200
GONE = 410
CONDITION_FAILED = 412
NOT_EXECUTED_STATUSES = frozenset({400, 403, 404, 409, 429, 503, 507})
"""Statuses of an append that mean that the store wrote nothing."""


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
        self.on_late: Callable[[], None] = lambda: None
        """Called for each read without a whole answer after LATE_SECONDS."""
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
            reply = await self._write_call(
                StoreQuestion(
                    "append", stream, b"POST", target, encode_records(records)
                )
            )
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except (NoReplyError, EraDoubtError) as exc:
            raise AppendUnknownError(str(exc)) from exc
        if reply.status in NOT_EXECUTED_STATUSES:
            raise LogUnavailableError(f"append refused with status {reply.status}")
        if reply.status == CONDITION_FAILED:
            raise ConditionFailedError(stream, end_of_stream(reply))
        if reply.status != OK:
            raise AppendUnknownError(f"append answered with status {reply.status}")
        if expected_end is not None and not _is_of_era(expected_end, reply.era):
            raise AppendUnknownError(f"append carried out in era {reply.era}")
        try:
            end = decode_json(reply.body, Appended).end
        except MalformedDocumentError as exc:
            raise AppendUnknownError(f"malformed reply to an append: {exc}") from exc
        return store_position(reply.era, end)

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        on_late: Callable[[], None] = lambda: None,
        page_kb: int = REQUESTED_PAGE_KB,
    ) -> StorePage:
        """Return records from position ``start`` on, some ``page_kb`` KiB of them.

        A read at the end of the stream waits up to ``wait`` seconds for a record. Those
        that came in of a page that was cut are returned. ``on_late`` is called if that
        takes longer than LATE_SECONDS beside. Raises RecordsExpiredError,
        StoreReturnedError and LogUnavailableError.
        """
        self._check_era(start)
        query = {
            "topic": stream,
            "part": PARTITION,
            "from": offset_of(start),
            "maxKb": page_kb,
            "waitMs": int(wait * 1000),
        }
        target = _target("/-/log-read", query)
        reply = await self._read_call(
            StoreQuestion("read", stream, b"GET", target, wait=wait), on_late
        )
        if not _is_of_era(start, reply.era):
            raise StoreReturnedError(reply.era)
        try:
            if reply.status == GONE:
                first = decode_json(reply.body, Expired).first
                raise RecordsExpiredError(first)
            if reply.status != OK:
                raise LogUnavailableError(f"read answered with status {reply.status}")
            position = store_position(reply.era, offset_of(start))
            return decode_page(reply.body, position, is_whole=reply.is_whole)
        except (MalformedDocumentError, MalformedRecordError) as exc:
            raise LogUnavailableError(f"malformed page: {exc}") from exc

    async def list_newest(
        self, stream: str, on_late: Callable[[], None] = lambda: None
    ) -> StoreListing:
        """Return the newest record of each key, read page by page.

        ``next_offset`` is the end of the stream as of the first page, as records that
        were appended after that may be missing from the listing. ``on_late`` is called
        for each page that takes longer than LATE_SECONDS. Raises LogUnavailableError.
        """
        first = await self._read_listing(stream, "", on_late)
        pages = [first]
        while pages[-1].listing.more and pages[-1].listing.items:
            after = pages[-1].listing.items[-1].key
            pages.append(await self._read_further(stream, after, on_late))
            if pages[-1].era != first.era:
                raise LogUnavailableError("the store returned during a listing")
        items = [item for page in pages for item in page.listing.items]
        records = [decode_item(item, first.era) for item in items]
        end = store_position(first.era, first.listing.end)
        return StoreListing(tuple(records), end)

    def _check_era(self, position: int) -> None:
        """Raise StoreReturnedError for a position of an earlier era."""
        if not _is_of_era(position, self.era.current):
            raise StoreReturnedError(self.era.current)

    async def _read_further(
        self, stream: str, after: str, on_late: Callable[[], None]
    ) -> ListingPage:
        """Read a page that follows others, which would have to be read again."""
        for _ in range(FURTHER_PAGE_TRIES - 1):
            try:
                return await self._read_listing(stream, after, on_late)
            except LogUnavailableError:
                await anyio.sleep(FURTHER_PAGE_PAUSE_SECONDS)
        return await self._read_listing(stream, after, on_late)

    async def _read_listing(
        self, stream: str, after: str, on_late: Callable[[], None]
    ) -> ListingPage:
        query: dict[str, object] = {"topic": stream, "part": PARTITION}
        if after:
            query["after"] = after
        target = _target("/-/log-newest", query)
        reply = await self._read_call(
            StoreQuestion("newest", stream, b"GET", target), on_late
        )
        if reply.status != OK:
            raise LogUnavailableError(f"listing answered with status {reply.status}")
        try:
            listing = decode_json(reply.body, Listing)
        except MalformedDocumentError as exc:
            raise LogUnavailableError(f"malformed listing: {exc}") from exc
        return ListingPage(listing, reply.era)

    async def _read_call(
        self, question: StoreQuestion, on_late: Callable[[], None]
    ) -> StoreReply:
        """Read; a second time on a new connection if nothing comes in."""
        began_at = time.monotonic()
        due_at = began_at + question.wait

        def record_late() -> None:
            self.on_late()
            on_late()

        read = HedgedRead(
            lambda on_progress: self._exchange(
                question, MAX_SILENCE_SECONDS, on_progress
            ),
            self._lease,
            due_at,
            READ_PATIENCE,
            record_late,
        )
        try:
            reply = await read.run()
        except (ExchangeError, EraDoubtError) as exc:
            self._report(question, began_at, read.exchanges, exc)
            raise LogUnavailableError(str(exc)) from exc
        first = read.began_at if not question.wait else None
        self._report(question, began_at, read.exchanges, reply, first)
        if read.has_silent_connection:
            await self._pool.close_silent(self.address, due_at)
        return reply

    async def _write_call(self, question: StoreQuestion) -> StoreReply:
        """Write once; raises NotSentError, NoReplyError and EraDoubtError."""
        began_at = time.monotonic()
        exchange = self._exchange(question, LATE_SECONDS)
        try:
            reply = await exchange.run(self._lease(timeout=CONNECT_TIMEOUT_SECONDS))
        except (ExchangeError, EraDoubtError) as exc:
            self._report(question, began_at, [exchange], exc)
            if isinstance(exc, NoReplyError):
                # On another one as silent a write would be in doubt as well.
                await self._pool.close_silent(self.address, began_at)
            raise
        self._report(question, began_at, [exchange], reply)
        return reply

    def _exchange(
        self,
        question: StoreQuestion,
        silence: float,
        on_progress: Callable[[], None] = lambda: None,
    ) -> StoreExchange:
        return StoreExchange(question, self.address, self.era, silence, on_progress)

    def _lease(
        self, is_new: bool = False, timeout: float = MAX_SILENCE_SECONDS
    ) -> ConnectionLease:
        return self._pool.lease(
            self.address,
            self.address,
            MAX_CONNECTIONS,
            timeout,
            self._on_receive,
            is_new=is_new,
        )

    def _report(
        self,
        question: StoreQuestion,
        began_at: float,
        exchanges: Sequence[StoreExchange],
        result: StoreReply | Exception,
        first_at: float | None = None,
    ) -> None:
        if isinstance(result, EraDoubtError):
            self.on_era_doubt(str(result))
        self.on_call(
            StoreCall(
                question.kind,
                question.stream,
                call_outcome(result),
                call_error(result),
                time.monotonic() - began_at,
                None if first_at is None else first_at - began_at,
                max(exchange.received for exchange in exchanges),
                exchanges[0].on_new_connection,
                len(exchanges) > 1,
            )
        )


def _target(path: str, query: dict[str, object]) -> bytes:
    return f"{path}?{urllib.parse.urlencode(query)}".encode()


def _is_of_era(position: int, era: int) -> bool:
    """Return whether a position is valid; that of the beginning is in all eras."""
    return not position or era_of(position) == era


def _ignore_doubt(_reason: str) -> None:
    return None
