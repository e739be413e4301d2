"""The listed endpoints, rebuilt from the store's records."""

from __future__ import annotations

import collections
import dataclasses

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry

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

MAX_REMOVED = 2048
"""Endpoints that were removed and are remembered; the oldest is forgotten."""


class ServiceList:
    """Applies entries by offset and keeps those that lapse in a store outage.

    An entry that disappears during a store outage, or within ``lapse_grace`` seconds
    after it, counts as lapsed: it is kept until that time has passed, so that it can be
    renewed. At any other time it is removed at once, also after a cut of this host
    alone: what endpoints wrote meanwhile tells a cut from an outage. Times are in
    monotonic seconds.
    """

    def __init__(self, lapse_grace: float = LAPSED_ENTRY_GRACE_SECONDS) -> None:
        self._lapse_grace = lapse_grace
        self._entries: dict[str, EndpointEntry] = {}
        self._offsets: dict[str, int] = {}
        self._lapsed: set[str] = set()
        self._removed: dict[str, EndpointEntry] = {}
        """Last entries of endpoints that were removed."""
        self._is_store_lost = False
        self._store_back_at = float("-inf")
        self._writes_since_loss: collections.Counter[str] = collections.Counter()
        self.version = 0
        """Number that grows with each change of the list."""

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

    def store_reached(self, now: float) -> None:
        """Record that the store answers."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._store_back_at = now

    def apply_entry(self, key: str, offset: int, entry: EndpointEntry | None) -> bool:
        """Apply an entry; None for a record that names no usable endpoint.

        Return whether the list changed.
        """
        if not self._is_newer(key, offset):
            return False
        self._lapsed.discard(key)
        if entry is None:
            return self._remove(key)
        self._writes_since_loss[key] += 1
        self._removed.pop(key, None)
        if self._is_draining(entry):
            # An older copy of the store may have the entry from before the drain.
            entry = dataclasses.replace(entry, draining=True)
        if self._entries.get(key) == entry:
            return False
        self._entries[key] = entry
        self.version += 1
        return True

    def apply_listed_entry(
        self, key: str, offset: int, entry: EndpointEntry | None
    ) -> bool:
        """Apply an entry of a listing; return whether the list changed.

        One of a start that was removed is of an older copy of the store; the endpoint
        writes a newer one if it runs.
        """
        removed = self._removed.get(key)
        if entry is not None and removed is not None and _is_same_start(removed, entry):
            self._is_newer(key, offset)
            return False
        return self.apply_entry(key, offset, entry)

    def apply_removal(self, key: str, offset: int, now: float) -> bool:
        """Apply the removal of an entry; return whether the list dropped it at once."""
        if not self._is_newer(key, offset):
            return False
        if key in self._entries and self._is_in_grace_period(now):
            self._lapsed.add(key)
            return False
        return self._remove(key)

    def apply_listing(self, keys: set[str], end: int, now: float) -> None:
        """Apply a complete listing that ends at offset ``end``."""
        for key in sorted(set(self._entries) - keys):
            self.apply_removal(key, end, now)

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove and return the lapsed entries that were not renewed in time."""
        if not self._lapsed or self._is_in_grace_period(now):
            return ()
        gone = tuple(sorted(self._lapsed))
        self._lapsed.clear()
        for key in gone:
            self._remove(key)
        return gone

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

    def _is_draining(self, entry: EndpointEntry) -> bool:
        known = self._entries.get(entry.endpoint_id)
        return known is not None and known.draining and _is_same_start(known, entry)

    def _remove(self, key: str) -> bool:
        entry = self._entries.pop(key, None)
        if entry is None:
            return False
        self._removed[key] = entry
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self.version += 1
        return True


def _is_same_start(first: EndpointEntry, second: EndpointEntry) -> bool:
    return first.started_at_ms == second.started_at_ms != 0


def lapse_grace(drain_delay: float) -> float:
    """Return how long lapsed entries are kept, as they may be of leaving endpoints."""
    return min(LAPSED_ENTRY_GRACE_SECONDS, DRAIN_DELAY_FRACTION * drain_delay)
