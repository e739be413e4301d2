"""Stand-in for a model engine with slots, bounded memory and a prompt cache."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.standins.stamped_server import Behaviour, StampedServer

PROMPT_TOKENS_PER_SECOND = 400_000
"""Speed at which uncached prompt tokens are read."""
QUEUE_LIMIT = 4


class StampedEngine(StampedServer):
    """Reads one prompt at a time and caches its parts.

    ``memory_tokens`` bounds the memory of running requests: each takes the sum of the
    numbers in its header Token-Usage. Requests and cache together are bounded by twice
    as much; the least recently used parts are evicted. ``events`` is the number of
    events in each answer.
    """

    def __init__(
        self,
        server_id: str,
        *,
        events: int = 3,
        slots: int = 8,
        memory_tokens: int = 100_000,
    ) -> None:
        super().__init__(server_id, events=events)
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.running = 0
        self.waiting = 0
        self.read_tokens = 0
        self.cached_tokens = 0
        """Prompt tokens that were found in the cache."""
        self._used = 0
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._changed = anyio.Condition()
        self._read_lock = anyio.Lock()

    def admits(self, received: ReceivedRequest) -> bool:
        """Return whether the queue has space and the request can ever fit in memory."""
        return (
            self.waiting < QUEUE_LIMIT
            and self._memory_needed(received) <= self.memory_tokens
        )

    def load(self) -> bytes:
        """Return the numbers of running and waiting requests and of slots."""
        return b"%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def _stream(
        self,
        conn: ServerConnection,
        received: ReceivedRequest,
        headers: list[tuple[bytes, bytes]],
        behaviour: Behaviour,
    ) -> bool:
        async with self._slot_and_memory(self._memory_needed(received)):
            async with self._read_lock:
                await self._read_parts(_parts(received))
            headers = [
                (name, value) for name, value in headers if name != b"Server-Load"
            ]
            headers.append((b"Server-Load", self.load()))
            return await super()._stream(conn, received, headers, behaviour)

    @contextlib.asynccontextmanager
    async def _slot_and_memory(self, tokens: int) -> AsyncIterator[None]:
        """Wait for a slot and free memory, and hold them for the block."""
        self.waiting += 1
        try:
            async with self._changed:
                while not self._has_capacity(tokens):
                    await self._changed.wait()
                self.running += 1
                self._used += tokens
        finally:
            self.waiting -= 1
        try:
            yield
        finally:
            self.running -= 1
            self._used -= tokens
            with anyio.CancelScope(shield=True):
                async with self._changed:
                    self._changed.notify_all()

    def _has_capacity(self, tokens: int) -> bool:
        return self.running < self.slots and self._used + tokens <= self.memory_tokens

    async def _read_parts(self, parts: list[tuple[str, int]]) -> None:
        """Read the uncached parts; a part is only reused if all before it are."""
        is_cached = True
        unread = 0
        for name, tokens in parts:
            is_cached = is_cached and name in self._cache
            if is_cached:
                self.cached_tokens += tokens
            else:
                unread += tokens
        self.read_tokens += unread
        await anyio.sleep(unread / PROMPT_TOKENS_PER_SECOND)
        for name, tokens in parts:
            self._cache[name] = tokens
            self._cache.move_to_end(name)
        while sum(self._cache.values()) + self._used > 2 * self.memory_tokens:
            self._cache.popitem(last=False)

    def _memory_needed(self, received: ReceivedRequest) -> int:
        usage = received.headers.text(b"token-usage") or "0,0"
        return sum(int(part) for part in usage.split(","))


def _parts(received: ReceivedRequest) -> list[tuple[str, int]]:
    prefix = received.headers.text(b"prompt-prefix") or ""
    parts = [part.partition(":") for part in prefix.split(",") if part]
    return [(name, int(tokens)) for name, _, tokens in parts]
