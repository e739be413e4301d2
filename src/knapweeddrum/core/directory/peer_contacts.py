"""The hosts that this one has heard of directly, not through the store."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.message.call.sighting import Sighting

CONTACT_LIFETIME_SECONDS = 2.5
"""Time for which a host that was heard of directly counts as in contact."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Contact:
    incarnation: str
    at: float


class PeerContacts:
    """Knows when each host was last heard of directly, by itself or by another host.

    Contact goes both ways: who hears of this host through others is heard of by it. A
    sighting keeps its age however often it is told. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def record(self, name: str, incarnation: str, at: float) -> None:
        """Record that a host lived at a time."""
        known = self._contacts.get(name)
        if known is None or at > known.at:
            self._contacts[name] = _Contact(incarnation, at)

    def merge(self, sightings: Iterable[Sighting], asked_at: float) -> None:
        """Apply what another host answered to a question."""
        for sighting in sightings:
            at = asked_at - sighting.age
            self.record(sighting.name, sighting.incarnation, at)

    def names(self, now: float) -> frozenset[str]:
        """Return the names of the hosts in contact."""
        oldest = now - CONTACT_LIFETIME_SECONDS
        return frozenset(
            name for name, contact in self._contacts.items() if contact.at >= oldest
        )

    def sightings(self, now: float) -> tuple[Sighting, ...]:
        """Return the hosts in contact, to tell another one."""
        oldest = now - CONTACT_LIFETIME_SECONDS
        return tuple(
            Sighting(name, contact.incarnation, round(now - contact.at, 3))
            for name, contact in sorted(self._contacts.items())
            if contact.at >= oldest
        )
