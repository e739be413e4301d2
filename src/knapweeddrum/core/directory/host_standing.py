"""How far the other hosts must know that this one lives."""

from __future__ import annotations

from collections.abc import Collection

LEASE_SECONDS = 3.0
"""Time for which a written heartbeat keeps others from taking this host for gone."""

SETTLE_SECONDS = 2.0
"""Time in which all hosts that read the store learn of a first heartbeat."""


class HostStanding:
    """Tells how much this host may give of what one host gives for all.

    While its heartbeats are written, all other hosts know that it lives. Else it has to
    be in contact with them: those that aren't may have another in its place, so only
    the part of those that are is given, and nothing if a host that is out of contact
    still writes heartbeats. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._written_at = float("-inf")
        self._written_since = float("-inf")
        self._must_know: frozenset[str] = frozenset()
        """Names of the hosts that were alive since the lease was held last."""

    def record_written(self, sent_at: float) -> None:
        """Record that a heartbeat was written; ``sent_at`` is when it was sent."""
        if sent_at - self._written_at > LEASE_SECONDS:
            self._written_since = sent_at
        self._written_at = max(self._written_at, sent_at)

    def holds_lease(self, now: float) -> bool:
        """Return whether all hosts must know by the store that this one lives."""
        return self.writes(now) and now - self._written_since >= SETTLE_SECONDS

    def writes(self, now: float) -> bool:
        """Return whether the store takes this host's heartbeats."""
        return now - self._written_at <= LEASE_SECONDS

    def share(
        self,
        alive: Collection[str],
        writing: Collection[str],
        in_contact: Collection[str],
        now: float,
    ) -> float:
        """Return the part that this host may give, from 0 to 1.

        All are names of other hosts: those that are taken to live, those of them whose
        heartbeats were read lately, and those that are in contact.
        """
        if self.holds_lease(now):
            self._must_know = frozenset(alive)
            return 1.0
        self._must_know |= frozenset(alive)
        if not set(writing) <= set(in_contact):
            return 0.0
        reached = len(self._must_know & frozenset(in_contact))
        return (1 + reached) / (1 + len(self._must_know))
