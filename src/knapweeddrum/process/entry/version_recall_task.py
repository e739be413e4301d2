"""Recalls at start which services had a single software version."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.streams.version_recall import VersionRecall
from knapweeddrum.platform.exceptions import (
    LogUnavailableError,
    MalformedRecordError,
    RecordsExpiredError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.service_list_codec import decode_endpoint_entry
from knapweeddrum.platform.streams import SERVICE_LIST_STREAM
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.stream_follower import RETRY_SECONDS
from knapweeddrum.telemetry.entry_events import VERSIONS_RECALLED
from knapweeddrum.value.recall_outcome import RecallOutcome
from knapweeddrum.value.store_position import offset_of

START_POLL_SECONDS = 0.02

MAX_LIST_LAG_SECONDS = 2.0
"""Time in which this host reads as far as the one that wrote the record."""


class VersionRecallTask:
    """Reads the entries that were written since an earlier host's record.

    Streams that began before this host started can then be taken up, also if no
    host of that time lives any more. A host that can't recall learns nothing false.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._offset = 0
        """Position up to which the entries are applied."""

    async def run(self) -> None:
        """Recall once, as soon as the list and the hosts' records have been read."""
        ctx = self._ctx
        while not ctx.has_read_endpoints_and_hosts:
            await anyio.sleep(START_POLL_SECONDS)
        recall = VersionRecall(ctx.version_record)
        list_end = await self._list_end(recall.first_offset)
        outcome = await self._read(recall, list_end)
        while outcome is RecallOutcome.UNAVAILABLE:
            ctx.versions_recalled = True
            await anyio.sleep(RETRY_SECONDS)
            outcome = await self._read(recall, list_end)
        known = recall.sole_versions() if outcome is RecallOutcome.DONE else []
        now = time.monotonic()
        for sole in known:
            ctx.endpoint_history.recall(sole, now)
        ctx.versions_recalled = True
        ctx.events.emit(
            VERSIONS_RECALLED,
            outcome=outcome,
            from_offset=offset_of(recall.first_offset),
            to_offset=offset_of(list_end),
            services=[sole.service for sole in known],
        )

    async def _list_end(self, first_offset: int) -> int:
        """Return the end of the list, which another host may have read later."""
        history = self._ctx.endpoint_history
        if history.list_offset < first_offset:
            self._ctx.versions_recalled = True
        with anyio.move_on_after(MAX_LIST_LAG_SECONDS):
            while history.list_offset < first_offset:
                await anyio.sleep(START_POLL_SECONDS)
        return history.list_offset

    async def _read(self, recall: VersionRecall, list_end: int) -> RecallOutcome:
        """Apply the entries from the record's offset up to the end of the list.

        A further call goes on where the last one ended.
        """
        self._offset = max(self._offset, recall.first_offset)
        if self._offset > list_end:
            return RecallOutcome.EXPIRED
        try:
            while self._offset < list_end:
                page = await self._ctx.store.read(
                    SERVICE_LIST_STREAM, self._offset, 0.0, self._begin_without
                )
                _apply(recall, page.records)
                if page.next_offset <= self._offset:
                    return RecallOutcome.EXPIRED
                self._offset = page.next_offset
        except RecordsExpiredError:
            return RecallOutcome.EXPIRED
        except LogUnavailableError:
            return RecallOutcome.UNAVAILABLE
        return RecallOutcome.DONE

    def _begin_without(self) -> None:
        """Let the host be ready though the answer is late."""
        self._ctx.versions_recalled = True


def _apply(recall: VersionRecall, records: tuple[KeyedRecord, ...]) -> None:
    for record in records:
        if record.value is None:
            continue
        try:
            recall.apply(decode_endpoint_entry(record.key, record.value))
        except MalformedRecordError:
            # ServiceListReader logs entries that name no endpoint.
            continue
