"""All grants of a budget ledger, by identifier and by holder."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.core.budget.grant_entry import GrantEntry
from knapweeddrum.core.budget.held_grant import HeldGrant
from knapweeddrum.core.replay.expiry import pop_expired


class GrantTable:
    """Open grants, and closed ones while a repeated append may still name them.

    A grant is closed once all its tokens have left it.
    """

    def __init__(self) -> None:
        self._entries: dict[str, GrantEntry] = {}
        self._closed: dict[str, float] = {}
        self._by_holder: dict[str, dict[str, None]] = {}

    def get(self, grant_id: str) -> GrantEntry | None:
        """Return a grant, open or closed."""
        return self._entries.get(grant_id)

    def add(self, grant_id: str, entry: GrantEntry) -> None:
        """Add an open grant."""
        self._entries[grant_id] = entry
        self._by_holder.setdefault(entry.holder, {})[grant_id] = None

    def is_closed(self, grant_id: str) -> bool:
        """Return whether all tokens of a grant have left it."""
        return grant_id in self._closed

    def closed_at(self, grant_id: str) -> float:
        """Return the log time (s) at which a grant closed; -1 while it is open."""
        return self._closed.get(grant_id, -1.0)

    def close(self, grant_id: str, time: float) -> None:
        """Close a grant that has no tokens left and remove it from its holder."""
        self._closed[grant_id] = time
        entry = self._entries[grant_id]
        entry.return_ids = None
        held = self._by_holder[entry.holder]
        del held[grant_id]
        if not held:
            del self._by_holder[entry.holder]

    def prune(self, horizon: float) -> None:
        """Forget the grants that closed before ``horizon`` (s)."""
        for grant_id in pop_expired(self._closed, float, horizon):
            del self._entries[grant_id]

    def entries(self) -> Iterator[tuple[str, GrantEntry]]:
        """Yield all grants, sorted by identifier."""
        yield from sorted(self._entries.items())

    def open_entries(self) -> Iterator[tuple[str, GrantEntry]]:
        """Yield the open grants, sorted by identifier."""
        for grant_id, entry in self.entries():
            if grant_id not in self._closed:
                yield grant_id, entry

    def open_grants(self) -> tuple[HeldGrant, ...]:
        """Return the open grants, sorted by identifier."""
        return tuple(_held(key, entry) for key, entry in self.open_entries())

    def open_grants_of(self, holder: str) -> tuple[HeldGrant, ...]:
        """Return the open grants of a holder, sorted by identifier."""
        held = sorted(self._by_holder.get(holder, {}))
        return tuple(_held(key, self._entries[key]) for key in held)


def _held(grant_id: str, entry: GrantEntry) -> HeldGrant:
    return HeldGrant(
        grant_id=grant_id,
        budget=entry.budget,
        holder=entry.holder,
        witness=entry.witness,
        granted=entry.granted,
        remaining=entry.remaining,
        released=entry.released,
    )
