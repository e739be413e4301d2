"""The hosts that callers are sent to."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.core.directory.working_set import WorkingSet
from knapweeddrum.message.call.sighting import Sighting
from knapweeddrum.value.host_record import HostRecord

HEARTBEAT_TIMEOUT_SECONDS = 5.0
"""Time without a heartbeat, while the store answers, after which a host is left out."""

HOST_FAILURE_TIMEOUT_SECONDS = 12.0
"""Time without a heartbeat, while the store answers, after which a host has failed."""

SILENT_SECONDS = HEARTBEAT_TIMEOUT_SECONDS
"""Time without a sign of life, store or not, after which callers aren't sent to a host.

Without an outage of the store both time-outs end with the same read.
"""

RETURN_SECONDS = 2.8
"""Time for which the store must have answered for that: two reads, in which each host
that runs has written a heartbeat."""

WRITING_SECONDS = 3.5
"""Time without a heartbeat after which its host may have failed to write one."""

SUSPECT_SECONDS = 3.3
"""Time without a heartbeat, while the store answers, after which a host is asked.

A heartbeat counts from the read before it, and the next one comes with the next read.
"""

MAX_ADDRESSES = 64
"""Largest number of addresses in one answer."""


class HostDirectory:
    """Tracks the heartbeats of all hosts and leaves out hosts that stop sending them.

    Time in which the store is unreachable does not count, so an outage of the store
    removes no host. A host that was heard of directly counts like one whose heartbeat
    was read then, as its heartbeats may not get through. ``now`` is in monotonic
    seconds.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._records: dict[str, HostRecord] = {}
        self._offsets: dict[str, int] = {}
        self._heartbeat_at: dict[str, float] = {}
        """Time of the last sign of life of each host, on the store's clock."""
        self._seen_at: dict[str, float] = {}
        """The same, on this host's clock."""
        self._returned_at = float("-inf")
        """Time of the first read since the store was lost last."""
        self._last_read_at = float("-inf")
        self._written_at: dict[str, float] = {}
        """Time of the last heartbeat that was read, on the store's clock."""
        self._replaced: set[str] = set()
        self._store_available_seconds = 0.0
        self._read_at: float | None = None
        self.working_set = WorkingSet()

    def store_lost(self) -> None:
        """Record that the heartbeats can't be read."""
        self._read_at = None

    def store_answered(self, now: float) -> None:
        """Record that all heartbeats up to ``now`` are applied.

        The time since the previous call counts towards the age of heartbeats, unless
        the store was lost in between.
        """
        if self._read_at is not None:
            self._store_available_seconds += now - self._read_at
        else:
            self._returned_at = now
            if self._last_read_at == float("-inf"):
                # Heartbeats of the first listing count from now on.
                self._seen_at = dict.fromkeys(self._seen_at, now)
        self._read_at = now
        self._last_read_at = now

    def apply_heartbeat(self, key: str, offset: int, record: HostRecord | None) -> bool:
        """Apply a heartbeat, or the removal of a host if ``record`` is None.

        Return whether it was written after all that is known of the host.
        """
        if offset <= self._offsets.get(key, -1):
            return False
        self._offsets[key] = offset
        if record is None:
            self._records.pop(key, None)
            return True
        known = self._records.get(key)
        if self._is_outdated(record, known):
            return False
        if known is not None and known.incarnation != record.incarnation:
            self._replaced.add(known.incarnation)
        self._records[key] = record
        self._record_life(key, self._store_available_seconds, self._last_read_at)
        self._written_at[key] = self._store_available_seconds
        return True

    def apply_direct(self, record: HostRecord, now: float) -> bool:
        """Apply what a host said of itself, at ``now``; return if that was unknown."""
        if record.incarnation in self._replaced:
            return False
        known = self._records.get(record.name)
        was_known = (
            known is not None
            and known.incarnation == record.incarnation
            and known.ready == record.ready
            and self._is_running(record.name)
        )
        if known is not None and known.incarnation != record.incarnation:
            self._replaced.add(known.incarnation)
            known = None
        if known is None or record.beat >= known.beat:
            self._records[record.name] = record
        self._record_life(record.name, self._store_time(now), now)
        return not was_known

    def apply_sightings(self, sightings: Iterable[Sighting], asked_at: float) -> None:
        """Apply what another host answered that was asked at a time."""
        store_time = self._store_time(asked_at)
        for sighting in sightings:
            record = self._records.get(sighting.name)
            if record is not None and record.incarnation == sighting.incarnation:
                self._record_life(
                    record.name, store_time - sighting.age, asked_at - sighting.age
                )

    def _record_life(self, name: str, store_time: float, now: float) -> None:
        known_at = self._heartbeat_at.get(name, store_time)
        self._heartbeat_at[name] = max(store_time, known_at)
        self._seen_at[name] = max(now, self._seen_at.get(name, now))

    def suspects(self, now: float) -> list[HostRecord]:
        """Return the other hosts without a sign of life lately that may still run."""
        oldest = self._store_time(now) - SUSPECT_SECONDS
        return [
            record
            for record in self.known_hosts()
            if self._heartbeat_at[record.name] < oldest
        ]

    def writing_names(self) -> frozenset[str]:
        """Return the other running hosts whose heartbeats are read at present."""
        if self._read_at is None:
            return frozenset()
        oldest = self._store_available_seconds - WRITING_SECONDS
        return frozenset(
            record.name
            for record in self._running_hosts()
            if self._written_at.get(record.name, float("-inf")) >= oldest
        )

    def _store_time(self, now: float) -> float:
        """Return the seconds in which the store was available until ``now``."""
        if self._read_at is None:
            return self._store_available_seconds
        return self._store_available_seconds + max(0.0, now - self._read_at)

    def _is_outdated(self, record: HostRecord, known: HostRecord | None) -> bool:
        """Return whether a heartbeat is older than what was read before.

        The store has such ones after it came back from an older copy, and when a write
        was late. Incarnations of a host sort by their starts, unless its clock was set
        back; such a host is known by its own word.
        """
        if record.incarnation in self._replaced:
            return True
        if known is None:
            return False
        if known.incarnation == record.incarnation:
            return record.beat <= known.beat
        return record.incarnation < known.incarnation

    def ready_hosts(self) -> list[HostRecord]:
        """Return the other hosts that are ready and send heartbeats, by name."""
        return [record for record in self._running_hosts() if record.ready]

    def find(self, incarnation: str) -> HostRecord | None:
        """Return the last heartbeat of an incarnation, None once it was replaced."""
        for record in self._records.values():
            if record.incarnation == incarnation:
                return record
        return None

    def is_replaced(self, incarnation: str) -> bool:
        """Return whether a later incarnation of the same host has started."""
        return incarnation in self._replaced

    def is_gone(self, incarnation: str) -> bool:
        """Return whether an incarnation was replaced or its heartbeats stopped.

        They count as stopped after HOST_FAILURE_TIMEOUT_SECONDS. An incarnation whose
        heartbeat was never read is not gone, nor is this host.
        """
        if incarnation in self._replaced:
            return True
        record = self.find(incarnation)
        if record is None or record.name == self._own_name:
            return False
        return self._has_failed(record.name)

    def update_working_set(self, own: HostRecord | None, now: float) -> None:
        """Choose the hosts that callers are sent to, by the heartbeats read so far.

        ``own`` is this host, None once it leaves. One that starts counts already.
        """
        mine = [own] if own is not None else []
        self.working_set.update([*mine, *self.ready_hosts()], now)

    def addresses(self, own: str | None) -> list[str]:
        """Return the addresses for callers; ``own`` is None while not ready.

        They are those of the working set, or of all ready hosts if it has none left.
        Hosts that ended in an outage of the store are left out soon after it, while
        they still count for all else.
        """
        ready = [host for host in self.ready_hosts() if not self._is_silent(host.name)]
        members = self.working_set.names
        ready_members = [record for record in ready if record.name in members]
        others = self._choose(ready_members or ready)
        addresses = [record.address for record in others]
        if own is not None and (self._own_name in members or not ready_members):
            addresses.insert(0, own)
        return addresses[:MAX_ADDRESSES]

    def others_request_rate(self) -> float:
        """Return the requests per second at all other ready hosts, as they said."""
        return sum(record.request_rate for record in self.ready_hosts())

    def demand_share(self) -> float | None:
        """Return this host's part of the fleet's requests, from 0 to 1.

        It is what all hosts read in the heartbeats, this one's own included; None if
        none says that it gets requests.
        """
        own = self._records.get(self._own_name)
        own_rate = own.request_rate if own is not None else 0.0
        total = own_rate + sum(host.request_rate for host in self._running_hosts())
        return own_rate / total if total > 0 else None

    def _choose(self, hosts: list[HostRecord]) -> list[HostRecord]:
        """Return as many hosts as fit into an answer.

        Each host chooses others, always the same ones, so that callers are spread over
        a large fleet and keep their connections.
        """
        if len(hosts) < MAX_ADDRESSES:
            return hosts
        ranked = sorted(hosts, key=lambda host: _rank(self._own_name, host.name))
        return ranked[: MAX_ADDRESSES - 1]

    def recent_incarnations(self) -> frozenset[str]:
        """Return the other incarnations that may still run, by their heartbeats."""
        return frozenset(
            record.incarnation
            for name, record in self._records.items()
            if name != self._own_name and not self.is_gone(record.incarnation)
        )

    def known_hosts(self) -> list[HostRecord]:
        """Return the other hosts that have not failed for certain, by name."""
        return [
            record
            for name, record in sorted(self._records.items())
            if name != self._own_name and not self._has_failed(name)
        ]

    def running_hosts(self) -> list[HostRecord]:
        """Return the other hosts that send heartbeats, ready or not, by name."""
        return self._running_hosts()

    def host_count(self) -> int:
        """Return the number of hosts that serve, counting this one."""
        return 1 + len(self.ready_hosts())

    def running_count(self) -> int:
        """Return the number of hosts that send heartbeats, counting this one.

        Hosts that are not ready count too, because they may still serve callers.
        """
        return 1 + len(self._running_hosts())

    def _running_hosts(self) -> list[HostRecord]:
        return [
            record
            for name, record in sorted(self._records.items())
            if name != self._own_name and self._is_running(name)
        ]

    def _is_running(self, name: str) -> bool:
        return self._age(name) <= HEARTBEAT_TIMEOUT_SECONDS

    def _is_silent(self, name: str) -> bool:
        """Return whether a host gave no sign of life though it could have.

        Judged by the reads, so that one that is under way counts against no host.
        """
        answered = self._last_read_at - self._returned_at
        silent = self._last_read_at - self._seen_at[name]
        return answered >= RETURN_SECONDS and silent >= SILENT_SECONDS

    def _has_failed(self, name: str) -> bool:
        return self._age(name) > HOST_FAILURE_TIMEOUT_SECONDS

    def _age(self, name: str) -> float:
        """Return the seconds without a sign of life while the store answered."""
        return self._store_available_seconds - self._heartbeat_at[name]


def _rank(own_name: str, name: str) -> bytes:
    return hashlib.blake2b(f"{own_name}|{name}".encode(), digest_size=8).digest()
