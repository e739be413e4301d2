"""Pool of client connections to many servers."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ConnectionLimitError

MAX_IDLE_CONNECTIONS_PER_SERVER = 64

Opener = Callable[[], Awaitable[ClientConnection]]
"""Opens a new connection; raises NotSentError."""

Matcher = Callable[[str, ClientConnection], bool]
"""Tells by its key and itself whether a connection is meant."""


class ConnectionPool:
    """Keeps idle connections for reuse and limits the open ones per server.

    Connections are grouped by a key. An endpoint's key changes when it restarts, so
    that no request is sent on a connection to its earlier process. ``on_connect`` is
    called with the key of each new connection.
    """

    def __init__(self, on_connect: Callable[[str], None]) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self._leased: dict[str, set[ClientConnection]] = {}
        self._on_connect = on_connect
        self.max_open: int | None = None
        """Connections to all servers together, None for no limit."""
        self.reserved = 0
        """Descriptors among ``max_open`` that are used for something else."""
        self.buffer_bytes = 0
        """Size of the kernel's buffers to ask for, 0 for its own choice."""

    async def acquire(
        self, key: str, limit: int, connect: Opener, *, is_new: bool = False
    ) -> ClientConnection:
        """Return the most recently used idle connection, or a new one.

        A new one in any case if ``is_new`` is true.

        Raises ConnectionLimitError if ``limit`` connections are open, or ``max_open``
        to all servers, and what ``connect`` raises.
        """
        now = time.monotonic()
        while not is_new and (idle := self._idle.get(key)):
            conn = idle.pop()
            if conn.is_usable(now):
                self._lease(key, conn)
                return conn
            await self._close(key, conn)
        if self._open_counts.get(key, 0) >= limit:
            raise ConnectionLimitError(
                f"{key}: limit of {limit} open connections reached"
            )
        await self._make_room()
        self._open_counts[key] = self._open_counts.get(key, 0) + 1
        try:
            conn = await connect()
        except BaseException:
            self._count_closed(key)
            raise
        if self.buffer_bytes:
            conn.limit_buffers(self.buffer_bytes)
        self._on_connect(key)
        self._lease(key, conn)
        return conn

    @contextlib.asynccontextmanager
    async def lease(
        self,
        key: str,
        address: str,
        limit: int,
        timeout: float,
        on_receive: Callable[[int], None] = lambda _: None,
        *,
        is_new: bool = False,
    ) -> AsyncIterator[ClientConnection]:
        """Acquire a connection to ``IP:port``, and release it on leaving the context.

        ``on_receive`` is told the number of bytes of each receive on a new one. Raises
        NotSentError if connecting takes more than ``timeout`` seconds.
        """

        async def connect() -> ClientConnection:
            return await ClientConnection.connect(address, timeout, on_receive)

        conn = await self.acquire(key, limit, connect, is_new=is_new)
        try:
            yield conn
        finally:
            with anyio.CancelScope(shield=True):
                await self.release(key, conn)

    async def release(self, key: str, conn: ClientConnection) -> None:
        """Keep a connection for reuse, or close it."""
        self._end_lease(key, conn)
        idle = self._idle.setdefault(key, [])
        if conn.finish() and len(idle) < MAX_IDLE_CONNECTIONS_PER_SERVER:
            idle.append(conn)
            return
        await self._close(key, conn)

    def idle_keys(self) -> frozenset[str]:
        """Return the keys of the servers with an idle connection."""
        return frozenset(key for key, idle in self._idle.items() if idle)

    def open_count(self) -> int:
        """Return the number of open connections to all servers."""
        return sum(self._open_counts.values())

    async def sweep(self, live_keys: Iterable[str], now: float) -> None:
        """Close idle connections that are unusable or whose key is not a live one."""
        live = frozenset(live_keys)

        def is_unwanted(key: str, conn: ClientConnection) -> bool:
            return key not in live or not conn.is_usable(now)

        await self.close_idle(is_unwanted)

    async def close_idle(self, matches: Matcher) -> None:
        """Close the idle connections that ``matches`` returns true for."""
        for key, conn in self._take_idle(matches):
            await self._close(key, conn)

    async def close_silent(self, key: str, since: float) -> None:
        """Close the idle connections of a server on which nothing came since a time.

        After a call without an answer they may be as silent as its connection was.
        ``since`` is in monotonic seconds.
        """

        def is_silent(found: str, conn: ClientConnection) -> bool:
            return found == key and conn.received_at < since

        await self.close_idle(is_silent)

    def _take_idle(self, matches: Matcher) -> list[tuple[str, ClientConnection]]:
        """Remove idle connections and return them, with their keys.

        All are taken in one step: while one is closed, others may be leased.
        """
        taken: list[tuple[str, ClientConnection]] = []
        for key, idle in list(self._idle.items()):
            unwanted = [conn for conn in idle if matches(key, conn)]
            taken += [(key, conn) for conn in unwanted]
            kept = [conn for conn in idle if conn not in unwanted]
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
        return taken

    def leased(self) -> list[tuple[str, ClientConnection]]:
        """Return the connections in use, with their keys."""
        return [(key, conn) for key, conns in self._leased.items() for conn in conns]

    async def give_up_leased(self, matches: Matcher) -> int:
        """Close those in use that ``matches`` returns true for; return how many.

        Their exchanges raise PathCutError.
        """
        matching = [conn for key, conn in self.leased() if matches(key, conn)]
        for conn in matching:
            await conn.give_up()
        return len(matching)

    async def close(self) -> None:
        """Close all idle connections."""
        await self.sweep((), time.monotonic())

    async def _make_room(self) -> None:
        """Close an idle connection if no more may be open."""
        if self.max_open is None or self.open_count() + self.reserved < self.max_open:
            return
        for key, idle in self._idle.items():
            if idle:
                await self._close(key, idle.pop(0))
                return
        raise ConnectionLimitError(f"limit of {self.max_open} connections reached")

    async def _close(self, key: str, conn: ClientConnection) -> None:
        self._count_closed(key)
        await conn.close()

    def _lease(self, key: str, conn: ClientConnection) -> None:
        self._leased.setdefault(key, set()).add(conn)

    def _end_lease(self, key: str, conn: ClientConnection) -> None:
        leased = self._leased.get(key, set())
        leased.discard(conn)
        if not leased:
            self._leased.pop(key, None)

    def _count_closed(self, key: str) -> None:
        count = self._open_counts.get(key, 0) - 1
        if count > 0:
            self._open_counts[key] = count
        else:
            self._open_counts.pop(key, None)
