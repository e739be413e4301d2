"""The order in which endpoints wrote their entries."""

from __future__ import annotations

import dataclasses
import math

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_judgement import EntryJudgement, EntryRule

MAX_WRITE_DELAY_SECONDS = 7.0
"""Time from the sending of an entry within which the store carries it out."""

SILENCE_INTERVALS = 2.2
"""Heartbeat intervals without an entry after which a removal is due to silence.

The store waits for three, of which this host sees less, as it reads now and then.
"""

MIN_EXPIRY_INTERVALS = 2.8
"""Heartbeat intervals without an entry before which the store removes none.

It waits for three, which endpoints keep to approximately.
"""

MAX_LATE_ENTRIES = 2
"""Entries that an endpoint has sent at most since the one that was read last.

More don't fit into the time for which an endpoint that leaves was silent.
"""

EXTRA_OVERTAKEN_ENTRIES = 2
"""Entries that an endpoint writes between its heartbeats while one of them is late."""

DEFAULT_HEARTBEAT_SECONDS = 1.2
"""Interval at which endpoints write their entries."""

MAX_REMOVED = 2048
"""Endpoints that were removed and are remembered; the oldest is forgotten."""


@dataclasses.dataclass(slots=True)
class _Known:
    entry: EndpointEntry
    """The newest entry of the newest start."""
    changed_at: float
    """When the entry, or its removal, was read."""
    carried_out_after: float
    """Time before which the store had not carried out the entry."""
    is_removed: bool = False
    has_left: bool = False
    """Whether the endpoint removed the entry itself, as it leaves."""


class EntryOrder:
    """Tells entries that were written before what is known of their endpoint.

    The place of a record in the stream tells when the store carried the write out,
    which may be seconds after the endpoint sent it: then an endpoint may have gone, or
    have written again. An endpoint that was silent is removed by the store and may go
    on; one that leaves is removed at once, and what it sent before is never news.
    Nor is what an earlier start sent, once a later one is known.
    If an endpoint doesn't tell its start, its address and numbers show whether an entry
    is of the same one. Times are in monotonic seconds.
    """

    def __init__(self, heartbeat_interval: float = DEFAULT_HEARTBEAT_SECONDS) -> None:
        self._silence = SILENCE_INTERVALS * heartbeat_interval
        self._min_expiry = MIN_EXPIRY_INTERVALS * heartbeat_interval
        self._max_overtaken = (
            math.ceil(MAX_WRITE_DELAY_SECONDS / heartbeat_interval)
            + EXTRA_OVERTAKEN_ENTRIES
        )
        self._known: dict[str, _Known] = {}
        self._removed: dict[str, None] = {}
        """Ids of the endpoints that were removed, the oldest first."""

    def judge(
        self, entry: EndpointEntry, carried_out_after: float, now: float
    ) -> EntryJudgement:
        """Judge whether an entry was written before what is known of its endpoint.

        ``carried_out_after`` is a time before which the store had not carried out the
        write, which was read at ``now``. One that is later than any write can be is
        news, whatever it tells.
        """
        known = self._known.get(entry.endpoint_id)
        if known is None:
            return EntryJudgement(EntryRule.FIRST)
        return EntryJudgement(
            self._rule(known, entry, carried_out_after),
            known.entry.number,
            known.entry.started_at_ms,
            now - known.changed_at,
            known.is_removed,
        )

    def known_for(self, key: str, now: float) -> float | None:
        """Return the seconds since an entry or its removal was read, None for none."""
        known = self._known.get(key)
        return None if known is None else now - known.changed_at

    def is_draining(self, entry: EndpointEntry) -> bool:
        """Return whether a start has told that it drains, in this entry or before."""
        known = self._known.get(entry.endpoint_id)
        if known is None or not _is_same_start(known.entry, entry):
            return entry.draining
        return entry.draining or known.entry.draining

    def record_entry(
        self, entry: EndpointEntry, now: float, carried_out_after: float
    ) -> None:
        """Record an entry that is not outdated, read at ``now``."""
        self._known[entry.endpoint_id] = _Known(entry, now, carried_out_after)
        self._removed.pop(entry.endpoint_id, None)

    def has_left(self, key: str, now: float) -> bool:
        """Return whether a removal read at ``now`` is too soon to be for silence."""
        known = self._known.get(key)
        if known is None or known.is_removed:
            return False
        return now - known.carried_out_after < self._min_expiry

    def record_removal(self, key: str, now: float, carried_out_after: float) -> None:
        """Record that an entry was removed while the store worked, read at ``now``.

        The endpoint has left, unless it was silent before.
        """
        known = self._known.get(key)
        if known is None or known.is_removed:
            return
        silent_for = carried_out_after - known.changed_at
        self.record_lapse(key, now)
        known.has_left = silent_for < self._silence

    def record_lapse(self, key: str, now: float) -> None:
        """Record that an entry was removed, nothing tells why; read at ``now``."""
        known = self._known.get(key)
        if known is None or known.is_removed:
            return
        known.is_removed = True
        known.changed_at = now
        self._removed[key] = None
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            del self._known[oldest]

    def _rule(
        self, known: _Known, entry: EndpointEntry, carried_out_after: float
    ) -> EntryRule:
        if carried_out_after >= known.changed_at + MAX_WRITE_DELAY_SECONDS:
            return EntryRule.CARRIED_OUT_LATER
        if self._may_be_untold_start(known.entry, entry):
            return EntryRule.UNTOLD_START
        if entry.started_at_ms > known.entry.started_at_ms:
            return EntryRule.LATER_START
        if entry.started_at_ms < known.entry.started_at_ms:
            return EntryRule.EARLIER_START
        if not known.is_removed:
            is_older = entry.number < known.entry.number
            return EntryRule.OLDER if is_older else EntryRule.NEXT
        late_entries = MAX_LATE_ENTRIES if known.has_left else 0
        if entry.number <= known.entry.number + late_entries:
            return EntryRule.BEFORE_REMOVAL
        return EntryRule.AFTER_LEAVING if known.has_left else EntryRule.AFTER_SILENCE

    def _may_be_untold_start(self, known: EndpointEntry, entry: EndpointEntry) -> bool:
        """Return whether an entry may be of another start, as one tells no start.

        If neither does, they are of the same start if they have the same address and
        the entry's number is high enough: each start counts anew, and a late entry has
        been overtaken by a few others only.
        """
        if known.started_at_ms and entry.started_at_ms:
            return False
        if known.started_at_ms != entry.started_at_ms:
            return True
        if not known.number or not entry.number or known.address != entry.address:
            return True
        return entry.number < known.number - self._max_overtaken


def _is_same_start(first: EndpointEntry, second: EndpointEntry) -> bool:
    return first.started_at_ms == second.started_at_ms != 0
