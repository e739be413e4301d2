"""The stream of configuration changes to one client."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Iterator

import anyio

from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.resource_document import ResourceDocument
from knapweeddrum.process.control.server_sent_event import (
    encode_event,
    encode_position,
)
from knapweeddrum.process.control.watch_end import WatchEnd
from knapweeddrum.process.control.watch_snapshot import WatchSnapshot

IDLE_COMMENT_INTERVAL_SECONDS = 10.0
"""Interval of the comments that keep a stream without changes alive."""


class WatchStream:
    """Streams the changes after log offset ``after`` (-1: all), in the log's order.

    An empty ``kind`` stands for all kinds. When the copy no longer has all changes
    after ``after``, a snapshot of the resources is sent in their place.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        stopping: anyio.Event,
        after: int,
        kind: str,
    ) -> None:
        self._follower = follower
        self._stopping = stopping
        self._after = after
        self._kind = kind

    async def events(self) -> AsyncGenerator[bytes, None]:
        """Yield encoded events until the process stops."""
        while not self._stopping.is_set():
            sent = False
            for chunk in self._pending_events():
                sent = True
                yield chunk
            if not sent:
                yield encode_position(self._after)
            await self._wait()
        yield encode_event("end", WatchEnd("stopping", self._after))

    async def _wait(self) -> None:
        """Wait for a change, the stop of the process or the time of a comment."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_stopping, group.cancel_scope)
            await self._follower.wait_for_change(
                self._after, IDLE_COMMENT_INTERVAL_SECONDS
            )
            group.cancel_scope.cancel()

    async def _cancel_when_stopping(self, scope: anyio.CancelScope) -> None:
        await self._stopping.wait()
        scope.cancel()

    def _pending_events(self) -> Iterator[bytes]:
        """Yield the events that are due, then advance the stream's offset."""
        copy = self._follower.copy
        if copy.offset <= self._after:
            return
        changes = copy.changes_after(self._after)
        if changes is None:
            yield from self._snapshot_events(copy.resources(), copy.offset)
        else:
            yield from self._change_events(list(filter(self._is_wanted, changes)))
        self._after = copy.offset

    def _snapshot_events(
        self, records: list[ResourceRecord], offset: int
    ) -> Iterator[bytes]:
        wanted = list(filter(self._is_wanted, records))
        bounds = WatchSnapshot(offset, len(wanted))
        yield encode_event("snapshot", bounds)
        for record in wanted:
            yield encode_event("resource", ResourceDocument.from_record(record))
        yield encode_event("snapshot-end", bounds, offset)

    def _change_events(self, records: list[ResourceRecord]) -> Iterator[bytes]:
        """Yield changes; only the last one at each offset has an event identifier.

        One log record can hold several changes, which share its offset: a client that
        resumes after an identifier must have got all of them.
        """
        following = [record.offset for record in records[1:]]
        for record, next_offset in zip(records, [*following, None], strict=True):
            is_last = record.offset != next_offset
            yield encode_event(
                "change",
                ResourceDocument.from_record(record),
                record.offset if is_last else None,
            )

    def _is_wanted(self, record: ResourceRecord) -> bool:
        return not self._kind or record.resource_kind == self._kind
