"""One attempt to get an answer from the platform's store."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import EndlessReplyError, NoReplyError, NotSentError
from knapweeddrum.http.header_list import Header
from knapweeddrum.platform.store_era import StoreEra
from knapweeddrum.platform.store_question import StoreQuestion, StoreReply

MAX_PAGE_BYTES = 4 * 1024 * 1024

MIN_BYTES_PER_SECOND = 4096
"""Rate below which an answer is given up though it comes in."""

ConnectionLease = contextlib.AbstractAsyncContextManager[ClientConnection]


class StoreExchange:
    """Sends a question and receives its answer on one connection.

    ``silence`` is the time in seconds for which nothing may come in, counted from when
    the answer is due; an answer that comes in may take longer. ``on_progress`` is
    called for each part of it.
    """

    def __init__(
        self,
        question: StoreQuestion,
        address: str,
        era: StoreEra,
        silence: float,
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        self._question = question
        self._address = address
        self._era = era
        self._silence = silence
        self._on_progress = on_progress
        self._scope = anyio.CancelScope()
        self._due_at = time.monotonic() + question.wait
        self._status: int | None = None
        self._answer_era = 0
        self._body = bytearray()
        self.is_connected = False
        self.on_new_connection = True

    @property
    def received(self) -> int:
        """Bytes of the answer's body that have come in."""
        return len(self._body)

    @property
    def has_begun(self) -> bool:
        """Return whether the answer has begun to come in."""
        return self._status is not None

    async def run(self, lease: ConnectionLease) -> StoreReply:
        """Return the answer; of a page of records what came in, if it is cut.

        Raises NotSentError, NoReplyError and EraDoubtError.
        """
        self._scope.deadline = anyio.current_time() + self._question.wait
        self._scope.deadline += self._silence
        try:
            with self._scope:
                async with lease as conn:
                    self.is_connected = True
                    self.on_new_connection = not conn.used
                    return await self._exchange(conn)
        except NoReplyError:
            if not self._has_records():
                raise
            return self._reply(is_whole=False)
        if not self.is_connected:
            raise NotSentError(f"{self._address}: no connection in time")
        if self._has_records():
            return self._reply(is_whole=False)
        raise NoReplyError(f"{self._address}: no reply in time")

    def give_up(self) -> None:
        """End the attempt; ``run`` returns or raises as for one without an answer."""
        self._scope.cancel()

    async def _exchange(self, conn: ClientConnection) -> StoreReply:
        asked = self._question
        headers: list[Header] = [(b"Host", self._address.encode())]
        if asked.method == b"POST":
            headers.append((b"Content-Length", str(len(asked.body)).encode()))
        async with conn.exchange(
            asked.method, asked.target, headers, asked.body
        ) as head:
            self._answer_era = self._era.accept(head.headers)
            self._status = head.status
            self._record_progress()
            while (data := await conn.next_data()) is not None:
                self._body += data
                if len(self._body) > MAX_PAGE_BYTES:
                    raise EndlessReplyError(f"body exceeds {MAX_PAGE_BYTES} bytes")
                self._record_progress()
            return self._reply(is_whole=True)

    def _record_progress(self) -> None:
        """Give the rest of the answer time, as long as enough of it comes in."""
        now = time.monotonic()
        slowest = self._due_at + self.received / MIN_BYTES_PER_SECOND
        time_left = min(now, slowest) + self._silence - now
        self._scope.deadline = anyio.current_time() + time_left
        self._on_progress()

    def _has_records(self) -> bool:
        is_page = self._question.kind == "read" and self._status == 200
        return is_page and bool(self._body)

    def _reply(self, *, is_whole: bool) -> StoreReply:
        assert self._status is not None
        return StoreReply(
            self._status, bytes(self._body), self._answer_era, is_whole=is_whole
        )
