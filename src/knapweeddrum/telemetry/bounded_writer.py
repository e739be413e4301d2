"""Non-blocking line writer with a rate limit and a bounded backlog."""

from __future__ import annotations

import collections
import os
import time

REFILL_BYTES_PER_SECOND = 262_144
"""Sustained output rate: bytes that the token bucket gains per second."""

BURST_BYTES = 1_048_576
"""Capacity of the token bucket: output that may exceed the sustained rate."""

MAX_BACKLOG_BYTES = 524_288
"""Output that is kept in memory at most while the reader is slow."""


class BoundedWriter:
    """Writes lines to a file descriptor and never blocks on its reader.

    Lines that exceed the rate limit (a token bucket) or the backlog are dropped and
    counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._bucket_bytes = float(BURST_BYTES)
        self._refilled_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or queue a line; drop it if a limit is exceeded."""
        data = line.encode() + b"\n"
        self.flush()
        if not self._debit_bucket(len(data)):
            self.dropped += 1
            return
        if self._backlog or not self._try_write(data):
            self._enqueue(data)

    def flush(self) -> None:
        """Write the backlog as far as that is possible without blocking."""
        while self._backlog and self._try_write(self._backlog[0]):
            self._backlog_bytes -= len(self._backlog.popleft())

    def _try_write(self, data: bytes) -> bool:
        """Write without blocking; return whether the caller is done with ``data``.

        False means that ``data`` must be written later. After a partial write, the rest
        replaces the head of the backlog (False), or becomes its head if ``data`` was
        not queued before (True).
        """
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # Such as EPIPE after the reader has exited: a retry would fail as well.
            self.dropped += 1
            return True
        if count == len(data):
            return True
        if self._backlog and self._backlog[0] is data:
            self._backlog[0] = data[count:]
        else:
            self._backlog.appendleft(data[count:])
            self._backlog_bytes += len(data) - count
            return True
        self._backlog_bytes -= count
        return False

    def _enqueue(self, data: bytes) -> None:
        if self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def _debit_bucket(self, size: int) -> bool:
        """Take ``size`` bytes from the token bucket; False if it has too few."""
        now = time.monotonic()
        self._bucket_bytes = min(
            BURST_BYTES,
            self._bucket_bytes + (now - self._refilled_at) * REFILL_BYTES_PER_SECOND,
        )
        self._refilled_at = now
        if self._bucket_bytes < size:
            return False
        self._bucket_bytes -= size
        return True
