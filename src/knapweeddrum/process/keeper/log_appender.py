"""Appending of facts to one stream of the log, and their verdicts."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.fact_codec import encode_fact
from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.exceptions import AppendUnknownError, PlatformError
from knapweeddrum.process.keeper.exceptions import (
    AppendPendingError,
    NotAppendedError,
)
from knapweeddrum.process.keeper.pending_batch import PendingBatch
from knapweeddrum.process.keeper.pending_fact import PendingFact
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.retry_reason import RetryReason

BATCH_WINDOW_SECONDS = 0.005
BATCH_FACTS_LIMIT = 500
BATCH_BYTES_LIMIT = 512 * 1024
READ_BACK_TIMEOUT_SECONDS = 1.0
APPEND_FIRST_BACKOFF_SECONDS = 0.1
APPEND_BACKOFF_LIMIT_SECONDS = 2.0


class LogAppender:
    """The only writer of one incarnation to one stream.

    At most one batch is in flight. The batch is appended again under the same sequence
    number until it has been read back, so a lost reply is harmless; the replay drops
    repeats. The follower of the stream reports the verdicts.
    """

    def __init__(
        self,
        log: AppendLog,
        stream: str,
        writer: str,
        metrics: Metrics,
        batch_window: float = BATCH_WINDOW_SECONDS,
    ) -> None:
        """Wait ``batch_window`` seconds for more facts after the first of a batch."""
        self.stream = stream
        self.writer = writer
        self.available = True
        self._log = log
        self._metrics = metrics
        self._batch_window = batch_window
        self._queue: list[PendingFact] = []
        self._wakeup = anyio.Event()
        self._batch: PendingBatch | None = None
        self._sequence = 0

    async def append(self, fact: AnyFact, timeout: float) -> FactVerdict:
        """Append a fact and return its verdict.

        Waits at most ``timeout`` seconds, and only for the time of one attempt while
        the log is known to be unavailable. Raises NotAppendedError if the fact was
        withdrawn before it was written, and AppendPendingError if it may be on the log
        or may still be written.
        """
        entry = self.submit(fact)
        if self.available:
            with anyio.move_on_after(timeout):
                await entry.decided.wait()
        else:
            # The time of one attempt is enough to find out if the log is available.
            with anyio.move_on_after(min(timeout, APPEND_FIRST_BACKOFF_SECONDS)):
                await entry.decided.wait()
        if entry.verdict is not None:
            return entry.verdict
        if self._withdraw(entry):
            raise NotAppendedError(f"{self.stream}: the log is unavailable")
        raise AppendPendingError(f"{self.stream}: no verdict within {timeout} s")

    def submit(self, fact: AnyFact) -> PendingFact:
        """Queue a fact, which is retried until it has been appended."""
        entry = PendingFact(encode_fact(fact))
        self._queue.append(entry)
        self._wakeup.set()
        return entry

    @property
    def idle(self) -> bool:
        """Return whether no fact waits to be appended or read back."""
        return not self._queue and self._batch is None

    def on_applied(
        self, verdicts: Iterable[FactVerdict], last_sequence: int | None
    ) -> None:
        """Process the verdicts of an applied record, or none after a state was loaded.

        ``last_sequence`` is the last sequence number that was applied of this writer.
        Facts of an applied batch without a verdict are decided as well: checkpoint
        parts, and facts that a loaded state already contains.
        """
        batch = self._batch
        if batch is None or last_sequence is None or last_sequence < batch.sequence:
            return
        for verdict in verdicts:
            if (verdict.writer, verdict.sequence) == (self.writer, batch.sequence):
                batch.entries[verdict.index].verdict = verdict
        for entry in batch.entries:
            entry.decided.set()
        batch.applied.set()

    async def run(self) -> None:
        """Append queued facts until cancelled."""
        while True:
            await self._wait_for_facts()
            await anyio.sleep(self._batch_window)
            self._sequence += 1
            self._batch = PendingBatch(self._sequence, self._take_entries())
            await self._append_until_read_back(self._batch)
            self._batch = None

    async def _wait_for_facts(self) -> None:
        while not self._queue:
            self._wakeup = anyio.Event()
            await self._wakeup.wait()

    def _take_entries(self) -> list[PendingFact]:
        """Take facts out of the queue, up to the limits of one batch."""
        count = 0
        size = 0
        for entry in self._queue[:BATCH_FACTS_LIMIT]:
            size += len(entry.encoded)
            if count and size > BATCH_BYTES_LIMIT:
                break
            count += 1
        entries = self._queue[:count]
        del self._queue[:count]
        return entries

    async def _append_until_read_back(self, batch: PendingBatch) -> None:
        """Append the batch until it is read back or all its facts are withdrawn."""
        backoff = APPEND_FIRST_BACKOFF_SECONDS
        while batch.entries and not batch.applied.is_set():
            if await self._append_once(batch):
                backoff = APPEND_FIRST_BACKOFF_SECONDS
                with anyio.move_on_after(READ_BACK_TIMEOUT_SECONDS):
                    await batch.applied.wait()
                continue
            with anyio.move_on_after(backoff):
                await batch.applied.wait()
            backoff = min(2 * backoff, APPEND_BACKOFF_LIMIT_SECONDS)

    async def _append_once(self, batch: PendingBatch) -> bool:
        """Append the batch once; return False on failure or unknown outcome."""
        written_before = batch.maybe_written
        batch.maybe_written = True
        try:
            await self._log.append(self.stream, batch.payload(self.writer))
        except AppendUnknownError:
            self._metrics.count_retry(RetryReason.APPEND_REPLY_LOST)
            self.available = False
            return False
        except PlatformError:
            batch.maybe_written = written_before
            self.available = False
            return False
        self.available = True
        return True

    def _withdraw(self, entry: PendingFact) -> bool:
        """Withdraw a fact unless it may be on the log; return whether that was done."""
        if entry in self._queue:
            self._queue.remove(entry)
            return True
        batch = self._batch
        if batch is None or batch.maybe_written or entry not in batch.entries:
            return False
        batch.entries.remove(entry)
        return True
