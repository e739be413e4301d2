"""Following of one stream of the log, whose records are replayed into a ledger."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio

from knapweeddrum.core.replay.checkpoint_backlog import CheckpointBacklog
from knapweeddrum.core.replay.checkpoint_reader import CheckpointReader
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.core.replay.stream_replay import StreamReplay
from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.message.call.held_record import HeldRecord
from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.exceptions import PlatformError, RecordsExpiredError
from knapweeddrum.platform.log_record import LogRecord
from knapweeddrum.process.keeper.record_buffer import RecordBuffer
from knapweeddrum.process.keeper.record_source import RecordSource
from knapweeddrum.process.keeper.record_times import RecordTimes
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import (
    LOG_LOST,
    LOG_REACHED,
    STATE_JUMPED,
    STREAM_READY,
)

LOG_READ_LIMIT_RECORDS = 500
LOG_READ_WAIT_SECONDS = 2.0
OUTAGE_RETRY_PAUSE_SECONDS = 0.25
PEER_FETCH_LIMIT_RECORDS = 200

VerdictListener = Callable[[tuple[FactVerdict, ...]], None]
JumpListener = Callable[[], None]


class StreamFollower:
    """Reads a stream from the log, or from peers while the log is unavailable.

    ``ready`` is set once the replay has reached the end of the log or of the peer that
    it was read from.
    """

    def __init__(
        self,
        log: AppendLog,
        stream: str,
        replay: StreamReplay,
        peers: RecordSource,
        events: EventLog,
    ) -> None:
        self.stream = stream
        self.replay = replay
        self.ready = anyio.Event()
        self.first_kept = 0
        self._log = log
        self._peers = peers
        self._events = events
        self._buffer = RecordBuffer()
        self._checkpoints = CheckpointReader()
        self._times = RecordTimes()
        self._listeners: list[VerdictListener] = []
        self._jump_listeners: list[JumpListener] = []
        self._advanced = anyio.Event()
        self._reachable = True

    def listen(self, listener: VerdictListener) -> None:
        """Call ``listener`` with the verdicts of each record from now on."""
        self._listeners.append(listener)

    def listen_for_jumps(self, listener: JumpListener) -> None:
        """Call ``listener`` when the load of a checkpoint or state skips records."""
        self._jump_listeners.append(listener)

    async def wait_beyond(self, offset: int, timeout: float) -> None:
        """Wait for a record after ``offset``, at most ``timeout`` seconds."""
        with anyio.move_on_after(timeout):
            while self.replay.position <= offset:
                await self._advanced.wait()

    def checkpoint_backlog(self, unix_time: float) -> CheckpointBacklog:
        """Return the backlog of records without a checkpoint at ``unix_time`` (s)."""
        newest = self._checkpoints.newest(self.first_kept)
        covers = newest.covers if newest else self.first_kept - 1
        oldest = self._times.at(covers + 1)
        return CheckpointBacklog(
            records=self.replay.position - covers,
            oldest_age=0.0 if oldest is None else unix_time - oldest,
        )

    def records_for_peer(self, start: int, limit: int) -> FetchReply:
        """Return records from ``start`` on, or the state if they are not all held."""
        if not self.ready.is_set():
            return FetchReply(records=())
        position = self.replay.position
        if start > position:
            return FetchReply(records=(), position=position)
        records = self._buffer.since(start, min(limit, PEER_FETCH_LIMIT_RECORDS))
        if records is not None:
            return FetchReply(records=records, position=position)
        return FetchReply(
            records=(), covers=position, state=self.replay.dump(), position=position
        )

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except RecordsExpiredError as exc:
                await self._recover(exc.first)
            except PlatformError as exc:
                self._record_log_lost(exc)
                await self._read_from_peers()
                await anyio.sleep(OUTAGE_RETRY_PAUSE_SECONDS)

    async def _read_page(self) -> None:
        start = self.replay.position + 1
        wait = LOG_READ_WAIT_SECONDS if self.ready.is_set() else 0.0
        page = await self._log.read(self.stream, start, LOG_READ_LIMIT_RECORDS, wait)
        self._record_log_reached()
        self.first_kept = page.first
        self._apply_records(page.records)
        if self.replay.position + 1 >= page.next:
            self._become_ready()

    async def _recover(self, first: int) -> None:
        """Load the newest checkpoint after which all records are still kept."""
        self.first_kept = first
        try:
            loaded = await self._load_checkpoint(first)
        except PlatformError as exc:
            self._record_log_lost(exc)
            loaded = False
        if not loaded:
            await self._read_from_peers()
            await anyio.sleep(OUTAGE_RETRY_PAUSE_SECONDS)

    async def _load_checkpoint(self, first: int) -> bool:
        """Search the kept records for a checkpoint; return whether one was loaded."""
        reader = CheckpointReader()
        start = first
        while True:
            page = await self._log.read(self.stream, start, LOG_READ_LIMIT_RECORDS, 0.0)
            for record in page.records:
                reader.read(record.offset, record.payload)
            if not page.records:
                break
            start = page.records[-1].offset + 1
        checkpoint = reader.newest(first)
        if checkpoint is None or checkpoint.covers <= self.replay.position:
            return False
        self._load(checkpoint.state)
        return True

    def _load(self, state: bytes) -> None:
        self.replay.load(state)
        self._events.emit(STATE_JUMPED, stream=self.stream, offset=self.replay.position)
        for listener in self._jump_listeners:
            listener()
        self._notify()

    async def _read_from_peers(self) -> None:
        reply = await self._peers.fetch(self.stream, self.replay.position + 1)
        if reply is None:
            return
        if reply.state and reply.covers > self.replay.position:
            self._load(reply.state)
        records = [
            LogRecord(held.offset, held.time, held.payload) for held in reply.records
        ]
        if records and records[0].offset == self.replay.position + 1:
            self._apply_records(records)
        if self.replay.position >= reply.position:
            self._become_ready()

    def _apply_records(self, records: Iterable[LogRecord]) -> None:
        for record in records:
            verdicts = self.replay.apply(record.offset, record.time, record.payload)
            self._times.add(record.offset, record.time)
            self._checkpoints.read(record.offset, record.payload)
            self._buffer.add(HeldRecord(record.offset, record.time, record.payload))
            for listener in self._listeners:
                listener(verdicts)
        self._notify()

    def _notify(self) -> None:
        self._advanced.set()
        self._advanced = anyio.Event()

    def _become_ready(self) -> None:
        if self.ready.is_set():
            return
        self.ready.set()
        self._events.emit(STREAM_READY, stream=self.stream, offset=self.replay.position)

    def _record_log_lost(self, exc: PlatformError) -> None:
        if self._reachable:
            self._events.emit(LOG_LOST, stream=self.stream, error=str(exc))
        self._reachable = False

    def _record_log_reached(self) -> None:
        if not self._reachable:
            self._events.emit(LOG_REACHED, stream=self.stream)
        self._reachable = True
