"""The listed endpoints, rebuilt from the store's records."""

from __future__ import annotations

import collections
import dataclasses

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_judgement import EntryJudgement, EntryRule
from knapweeddrum.core.catalog.entry_order import (
    DEFAULT_HEARTBEAT_SECONDS,
    EntryOrder,
)
from knapweeddrum.core.catalog.entry_outcome import EntryOutcome

LAPSED_ENTRY_GRACE_SECONDS = 2.5
"""Time after a store outage in which lapsed entries may be renewed."""

DRAIN_DELAY_FRACTION = 0.85
"""Part of the drain delay for which a lapsed entry may still be used at most.

The rest is for requests that were placed before.
"""

MIN_WRITES_OF_SERVED_ENDPOINT = 3
"""Entries of one endpoint since the store was lost that prove that it was served.

They span two intervals of its reports, longer than lapsed entries take to come back.
"""

NEVER = float("-inf")
"""Time of what has not happened, or of which nothing is known."""


class ServiceList:
    """Applies entries by offset and keeps those that lapse in a store outage.

    An entry that was written before what is known of its endpoint is left out, wherever
    it stands in the stream, see ``EntryOrder``.

    An entry that disappears during a store outage, or within ``lapse_grace`` seconds
    after it, counts as lapsed: it is kept until that time has passed, so that it can be
    renewed. At any other time it is removed at once, also after a cut of this host
    alone: what endpoints wrote meanwhile tells a cut from an outage. An entry that was
    written too recently to expire is removed at once as well. Times are in monotonic
    seconds.
    """

    def __init__(
        self,
        lapse_grace: float = LAPSED_ENTRY_GRACE_SECONDS,
        heartbeat_interval: float = DEFAULT_HEARTBEAT_SECONDS,
    ) -> None:
        self._lapse_grace = lapse_grace
        self._order = EntryOrder(heartbeat_interval)
        self._carried_out_after = NEVER
        """Time before which the store had not carried out what is read next."""
        self._entries: dict[str, EndpointEntry] = {}
        self._offsets: dict[str, int] = {}
        self._lapsed: set[str] = set()
        self._is_store_lost = False
        self._store_back_at = NEVER
        self._writes_since_loss: collections.Counter[str] = collections.Counter()
        self._lapsed_since_loss: set[str] = set()
        """Endpoints whose later writes may have been sent before the store was back."""
        self.version = 0
        """Number that grows with each change of the list."""
        self.last_judgement = EntryJudgement(EntryRule.FIRST)
        """How the entry that was applied last was judged."""

    @property
    def lapses_at(self) -> float | None:
        """Return when lapsed entries are to be removed, None if none are."""
        if not self._lapsed or self._is_store_lost:
            return None
        return self._store_back_at + self._lapse_grace

    def store_lost(self) -> None:
        """Record that the store can't be reached."""
        if self._is_store_lost:
            return
        self._is_store_lost = True
        self._writes_since_loss.clear()
        self._lapsed_since_loss.clear()

    def store_reached(self, now: float) -> None:
        """Record that the store answers."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._store_back_at = now

    def record_read(self, asked_at: float) -> None:
        """Record that all that the store had carried out at ``asked_at`` is applied."""
        self._carried_out_after = asked_at

    def apply_entry(
        self, key: str, offset: int, entry: EndpointEntry | None, now: float
    ) -> EntryOutcome:
        """Apply an entry that was read at ``now``; None for one of no use."""
        return self._apply(key, offset, entry, now, self._carried_out_after)

    def apply_listed_entry(
        self, key: str, offset: int, entry: EndpointEntry | None, now: float
    ) -> EntryOutcome:
        """Apply an entry of a listing, read at ``now``; None for one of no use.

        The store may have come back from an older copy, so that nothing is known of
        when the entry was written.
        """
        return self._apply(key, offset, entry, now, NEVER)

    def apply_removal(self, key: str, offset: int, now: float) -> bool:
        """Apply the removal of an entry; return whether the list dropped it at once."""
        if not self._is_newer(key, offset):
            return False
        if not self._order.has_left(key, now) and self._keep_if_lapsed(key, now):
            return False
        self._order.record_removal(key, now, self._carried_out_after)
        return self._remove(key)

    def apply_past_removal(self, key: str, offset: int, now: float) -> bool:
        """Apply a removal from before a listing; return whether the entry was dropped.

        Nothing tells why it was removed.
        """
        if not self._is_newer(key, offset):
            return False
        has_been_read = self._carried_out_after > NEVER
        if has_been_read and self._keep_if_lapsed(key, now):
            return False
        self._order.record_lapse(key, now)
        return self._remove(key)

    def apply_listing(self, keys: set[str], end: int, now: float) -> None:
        """Apply a complete listing that ends at offset ``end``."""
        for key in sorted(set(self._entries) - keys):
            if self._is_newer(key, end) and not self._keep_if_lapsed(key, now):
                self._order.record_removal(key, now, self._carried_out_after)
                self._remove(key)

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove and return the lapsed entries that were not renewed in time."""
        if not self._lapsed or self._is_in_grace_period(now):
            return ()
        gone = tuple(sorted(self._lapsed))
        self._lapsed.clear()
        for key in gone:
            self._remove(key)
        return gone

    def is_lapsed(self, endpoint_id: str) -> bool:
        """Return whether an entry was removed and is kept until it can be renewed."""
        return endpoint_id in self._lapsed

    def known_for(self, endpoint_id: str, now: float) -> float | None:
        """Return the seconds since its entry or removal was read, None if none was."""
        return self._order.known_for(endpoint_id, now)

    def read_age(self, now: float) -> float | None:
        """Return the seconds since the last read was asked for, None before one was.

        What is read at ``now`` was carried out within them, unless it is a listing.
        """
        if self._carried_out_after == NEVER:
            return None
        return now - self._carried_out_after

    def get(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the entry of an endpoint, None if it is not listed."""
        return self._entries.get(endpoint_id)

    def usable(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service that take new requests, by id."""
        return [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.service == service and not entry.draining
        ]

    def all(self) -> list[EndpointEntry]:
        """Return all listed endpoints, by id."""
        return [entry for _, entry in sorted(self._entries.items())]

    def _apply(
        self,
        key: str,
        offset: int,
        entry: EndpointEntry | None,
        now: float,
        carried_out_after: float,
    ) -> EntryOutcome:
        if not self._is_newer(key, offset):
            return EntryOutcome.UNCHANGED
        if entry is None:
            self._lapsed.discard(key)
            return _outcome(self._remove(key))
        self.last_judgement = self._order.judge(entry, carried_out_after, now)
        if self.last_judgement.rule.is_outdated:
            return EntryOutcome.OUTDATED
        if self._order.is_draining(entry):
            entry = dataclasses.replace(entry, draining=True)
        self._order.record_entry(entry, now, carried_out_after)
        self._record_write(key)
        return _outcome(self._put(key, entry))

    def _keep_if_lapsed(self, key: str, now: float) -> bool:
        """Keep a removed entry that may have expired in an outage; return if so."""
        if key not in self._entries or not self._is_in_grace_period(now):
            return False
        self._lapsed.add(key)
        self._lapsed_since_loss.add(key)
        self._order.record_lapse(key, now)
        return True

    def _record_write(self, key: str) -> None:
        self._lapsed.discard(key)
        if key not in self._lapsed_since_loss:
            self._writes_since_loss[key] += 1

    def _is_in_grace_period(self, now: float) -> bool:
        if self._is_store_lost:
            return True
        if now - self._store_back_at >= self._lapse_grace:
            return False
        return not self._has_served_endpoints()

    def _has_served_endpoints(self) -> bool:
        """Return whether endpoints could renew entries since the store was lost."""
        writes = max(self._writes_since_loss.values(), default=0)
        return writes >= MIN_WRITES_OF_SERVED_ENDPOINT

    def _is_newer(self, key: str, offset: int) -> bool:
        if offset <= self._offsets.get(key, -1):
            return False
        self._offsets[key] = offset
        return True

    def _put(self, key: str, entry: EndpointEntry) -> bool:
        if self._entries.get(key) == entry:
            return False
        self._entries[key] = entry
        self.version += 1
        return True

    def _remove(self, key: str) -> bool:
        if self._entries.pop(key, None) is None:
            return False
        self.version += 1
        return True


def _outcome(has_changed: bool) -> EntryOutcome:
    return EntryOutcome.CHANGED if has_changed else EntryOutcome.UNCHANGED


def lapse_grace(drain_delay: float) -> float:
    """Return how long lapsed entries are kept, as they may be of leaving endpoints."""
    return min(LAPSED_ENTRY_GRACE_SECONDS, DRAIN_DELAY_FRACTION * drain_delay)
