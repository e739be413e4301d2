"""In-memory log that simulates outages and lost replies."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable

import anyio

from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.exceptions import AppendUnknownError, LogUnavailableError
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.log_record import LogRecord
from tools.budget_model.host import Host
from tools.budget_model.network import Network

START_TIME = 1_800_000_000.0
"""The log's clock, in Unix seconds, at simulated time 0."""

APPEND_LATENCY_SECONDS = 0.004
LOST_REPLY_FRACTION = 0.01

RecordListener = Callable[[str, LogRecord], None]


class LogStore:
    """Holds the records of all streams."""

    def __init__(self, clock: Callable[[], float], listener: RecordListener) -> None:
        self._clock = clock
        self._listener = listener
        self._streams: dict[str, list[LogRecord]] = collections.defaultdict(list)
        self._changed: dict[str, anyio.Event] = collections.defaultdict(anyio.Event)

    def add(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        records = self._streams[stream]
        record = LogRecord(len(records), START_TIME + self._clock(), payload)
        records.append(record)
        self._changed.pop(stream, anyio.Event()).set()
        self._listener(stream, record)
        return record.offset

    def page(self, stream: str, start: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from offset ``start``."""
        records = self._streams[stream]
        return LogPage(0, len(records), tuple(records[start : start + limit]))

    async def wait(self, stream: str, timeout: float) -> None:
        """Wait for the next record of a stream, at most ``timeout`` seconds."""
        with anyio.move_on_after(timeout):
            await self._changed[stream].wait()


class FakeLog(AppendLog):
    """One host's client of the log store."""

    def __init__(
        self, store: LogStore, network: Network, host: Host, rng: random.Random
    ) -> None:
        self._store = store
        self._network = network
        self._host = host
        self._rng = rng

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record; the reply is lost for a fraction of the writes."""
        await anyio.sleep(APPEND_LATENCY_SECONDS)
        self._check()
        offset = self._store.add(stream, payload)
        if self._rng.random() < LOST_REPLY_FRACTION:
            raise AppendUnknownError("reply to the append was lost")
        return offset

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Read a page; at the end of the stream, wait up to ``wait`` s for a record."""
        self._check()
        page = self._store.page(stream, start, limit)
        if page.records or not wait:
            return page
        await self._store.wait(stream, wait)
        self._check()
        return self._store.page(stream, start, limit)

    def _check(self) -> None:
        if not self._network.reaches_log(self._host):
            raise LogUnavailableError("log is unreachable")
