"""Shares crash records with the other hosts."""

from __future__ import annotations

import time

import anyio
import msgspec

from knapweeddrum.message.call.crash_exchange import (
    CrashClearance,
    CrashClearanceReply,
    CrashExchange,
)
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.platform.exceptions import AppendUnknownError, LogUnavailableError
from knapweeddrum.platform.fleet_codec import (
    encode_crash_record,
    encode_crash_record_removal,
)
from knapweeddrum.platform.streams import CRASHES_STREAM
from knapweeddrum.process.entry.crash_record_reader import CrashRecordReader
from knapweeddrum.process.entry.crash_records import merge
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.telemetry.counters import CRASH_RECORD_NOT_WRITTEN
from knapweeddrum.telemetry.entry_events import CRASHES_CLEARED
from knapweeddrum.value.documents import decode_json

CRASH_EXCHANGE_PATH = b"/crash-records"
CLEAR_PATH = b"/crash-records/clear"
PEER_SOURCE = "peer"

CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks while there is something to share or no store."""

IDLE_SECONDS = 1.0
"""Interval between checks while there is nothing to share."""

INTERVAL_FRACTION = 0.25
"""Interval between two writes of this host, and between questions to other hosts, as a
fraction of the time within which all hosts must know a record."""

EXPIRY_INTERVAL_SECONDS = 60.0
"""Mean interval at which a host removes expired records."""

MAX_PUSHED_PEERS = 16
"""Hosts that are told of a change; they tell others."""

MAX_PULLED_PEERS = 2


class CrashSharing:
    """Writes changed records to the store; without it, tells the other hosts.

    Records that the store has already are not written again. A record that another
    host told is treated like one of this host's own, so that it reaches the store from
    any host that reaches it.
    """

    def __init__(
        self, ctx: EntryContext, peers: PeerClient, reader: CrashRecordReader
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._reader = reader
        self._stored_version = 0
        self._told_version = 0
        self._next_write_at = 0.0
        self._next_pull_at = 0.0
        self._next_expiry_at = time.monotonic() + self._expiry_delay()
        self._work = anyio.Event()
        ctx.crash_register.on_change = self._expect_work
        reader.on_lost = self._expect_work
        reader.on_listed = self._compare_all

    async def run(self) -> None:
        """Share records until cancelled."""
        while True:
            with anyio.move_on_after(IDLE_SECONDS):
                await self._work.wait()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            interval = self._ctx.settings.stable_window * INTERVAL_FRACTION
            if now >= self._next_write_at:
                self._work = anyio.Event()
                if await self._share_changes():
                    self._next_write_at = now + interval
                    self._expect_work()
            if now >= self._next_pull_at and not self._reader.is_store_reachable:
                self._next_pull_at = now + interval
                await self._ask_peers((), MAX_PULLED_PEERS)
            if now >= self._next_expiry_at:
                self._next_expiry_at = now + self._expiry_delay()
                await self._remove_expired()
            if not self._reader.is_store_reachable:
                self._expect_work()

    async def exchange(self, body: bytes) -> PageAnswer:
        """Merge the records of another host and reply with those of this one."""
        message = decode_json(body, CrashExchange)
        merge(self._ctx, message.records, PEER_SOURCE)
        records = self._ctx.crash_register.newest_records()
        return PageAnswer(200, msgspec.json.encode(CrashExchange(records)))

    async def clear(self, body: bytes) -> PageAnswer:
        """Clear the crashes of a request, as an operator orders."""
        order = decode_json(body, CrashClearance)
        cleared = self._ctx.crash_register.clear(order.fingerprint)
        if cleared:
            self._ctx.events.emit(CRASHES_CLEARED, fingerprint=order.fingerprint)
        return PageAnswer(200, msgspec.json.encode(CrashClearanceReply(cleared)))

    def _compare_all(self) -> None:
        """Write again what a listing lacks, as after a return of the store."""
        self._stored_version = 0
        self._expect_work()

    def _expect_work(self) -> None:
        self._work.set()

    async def _share_changes(self) -> bool:
        """Share what changed here; return whether there was anything to share."""
        batch = self._ctx.crash_register.changes(self._stored_version)
        records = tuple(record for record in batch.records if self._is_unstored(record))
        if not records:
            self._stored_version = batch.version
            if batch.records:
                # A batch is limited; there may be further changes.
                self._expect_work()
            return False
        if not self._reader.is_store_reachable:
            await self._tell_peers(batch.version, records)
        if await self._append(records):
            self._stored_version = batch.version
        else:
            await self._tell_peers(batch.version, records)
        return True

    async def _tell_peers(self, version: int, records: tuple[CrashRecord, ...]) -> None:
        """Tell other hosts of a batch of changes, once."""
        if version > self._told_version:
            self._told_version = version
            await self._ask_peers(records, MAX_PUSHED_PEERS)

    def _is_unstored(self, record: CrashRecord) -> bool:
        stored = self._reader.stored.get(record.fingerprint)
        if stored is None:
            return bool(record.marks)
        return stored != record

    async def _append(self, records: tuple[CrashRecord, ...]) -> bool:
        try:
            await self._ctx.store.append(
                CRASHES_STREAM, [encode_crash_record(record) for record in records]
            )
        except (LogUnavailableError, AppendUnknownError):
            # The StreamFollower of this stream logs outages of the store.
            self._ctx.metrics.count(CRASH_RECORD_NOT_WRITTEN)
            return False
        return True

    async def _ask_peers(self, records: tuple[CrashRecord, ...], most: int) -> None:
        """Tell some other hosts of records and merge theirs."""
        hosts = [
            host
            for host in self._ctx.hosts.ready_hosts()
            if not self._peers.is_unresponsive(host.peer_address)
        ]
        chosen = self._ctx.rng.sample(hosts, min(most, len(hosts)))
        async with anyio.create_task_group() as tasks:
            for host in chosen:
                tasks.start_soon(self._ask_peer, host.peer_address, records)

    async def _ask_peer(self, address: str, records: tuple[CrashRecord, ...]) -> None:
        reply = await self._peers.post(
            address, CRASH_EXCHANGE_PATH, CrashExchange(records), CrashExchange
        )
        if reply is not None:
            merge(self._ctx, reply.records, PEER_SOURCE)

    async def _remove_expired(self) -> None:
        """Remove from the store what counts against no request any more."""
        register = self._ctx.crash_register
        register.expire(time.time())
        expired = [
            fingerprint
            for fingerprint in self._reader.stored
            if not register.knows(fingerprint)
        ]
        if not expired:
            return
        try:
            await self._ctx.store.append(
                CRASHES_STREAM,
                [encode_crash_record_removal(name) for name in expired],
            )
        except (LogUnavailableError, AppendUnknownError):
            self._ctx.metrics.count(CRASH_RECORD_NOT_WRITTEN)

    def _expiry_delay(self) -> float:
        return EXPIRY_INTERVAL_SECONDS * self._ctx.rng.uniform(0.5, 1.5)
