"""The control process's copy of the configuration."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.process.control.resource_id import ResourceId

CHANGE_HISTORY_LIMIT = 4096
"""Changes kept so that watch streams can resume without a snapshot."""


class ConfigCopy:
    """Resources as of log offset ``offset``, and their recent changes.

    ``ready`` is true once a keeper has replied with a state, even an empty one.

    Replies may come from several keepers, some of which may lag: replies older than
    the copy are ignored, so that it never returns to an earlier state.
    """

    def __init__(self, history_limit: int = CHANGE_HISTORY_LIMIT) -> None:
        self.offset = -1
        self.ready = False
        self._resources: dict[ResourceId, ResourceRecord] = {}
        self._history: collections.deque[ResourceRecord] = collections.deque()
        self._history_limit = history_limit
        self._history_start = -1

    def apply(self, reply: ConfigReply) -> bool:
        """Apply a keeper's reply; return whether it advanced ``offset``.

        A snapshot at offset -1 is the state of an empty log.
        """
        if reply.snapshot or reply.offset >= 0:
            self.ready = True
        if reply.offset <= self.offset:
            return False
        if reply.snapshot:
            self._replace(reply)
        else:
            self._append_changes(reply.resources)
        self.offset = reply.offset
        return True

    def get(self, resource_id: ResourceId) -> ResourceRecord | None:
        """Return a resource, or None when it doesn't exist."""
        return self._resources.get(resource_id)

    def resources(self) -> list[ResourceRecord]:
        """Return all resources, sorted by kind and name."""
        return [self._resources[key] for key in sorted(self._resources)]

    def changes_after(self, offset: int) -> list[ResourceRecord] | None:
        """Return the changes after an offset, or None unless all are still kept."""
        if offset < self._history_start:
            return None
        return [record for record in self._history if record.offset > offset]

    def _replace(self, reply: ConfigReply) -> None:
        """Replace all resources by a snapshot and clear the history of changes."""
        self._resources.clear()
        self._history.clear()
        self._history_start = reply.offset
        for record in reply.resources:
            self._store(record)

    def _append_changes(self, records: Sequence[ResourceRecord]) -> None:
        for record in records:
            if record.offset <= self.offset:
                continue
            self._store(record)
            self._history.append(record)
        while len(self._history) > self._history_limit:
            self._history_start = self._history.popleft().offset

    def _store(self, record: ResourceRecord) -> None:
        key = ResourceId(record.resource_kind, record.name)
        if record.deleted:
            self._resources.pop(key, None)
        else:
            self._resources[key] = record
