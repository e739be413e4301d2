"""Membership of the fleet as one keeper knows it."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import msgspec

from knapweeddrum.core.membership.cached_hosts import CachedHosts
from knapweeddrum.core.membership.incarnation_index import (
    IncarnationIndex,
    incarnation_crc,
)
from knapweeddrum.core.membership.listed_member import ListedMember
from knapweeddrum.core.membership.member import Member
from knapweeddrum.core.membership.member_state import MemberState
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.core.membership.urgent_changes import UrgentChanges
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark
from knapweeddrum.value.identifiers import HostName

PEERS_PER_ROUND = 1
"""Peers that a keeper exchanges heartbeats with in a round."""

HEARTBEATS_PER_MESSAGE = 2
"""Whole heartbeats in one message, including the sender's own."""

MARKS_PER_MESSAGE = 40
"""Heartbeat marks in one message."""

GOSSIP_INTERVAL_SECONDS = 1.0
"""Time between two rounds of the gossip exchange."""

ABSENT_PEER_PROBABILITY = 0.2
"""Probability that a round contacts a peer that is gone or was never heard of."""

BASE_URGENT_SENDS = 4
"""The mark of a changed member comes first in this many messages plus the bit length of
the number of members."""

BASE_SUSPECT_SECONDS = 5.0
"""Time without a newer heartbeat that makes a member of the smallest fleet suspect."""

GONE_FACTOR = 3.0
"""A member is gone after this multiple of the time that makes it suspect."""

RELAY_INTERVAL_FACTOR = 4.0
"""The mean time between two relayed heartbeats of one member grows with the fleet; this
multiple of the mean is added to BASE_SUSPECT_SECONDS."""

HOSTS_CACHE_SECONDS = 0.25
"""Time for which the list of all hosts is cached while nothing changes."""

MEMBER_RETENTION_SECONDS = 86_400.0
"""Time without a newer heartbeat after which a member is dropped."""


class MemberTable:
    """Newest heartbeat of each host, by incarnation and then sequence.

    Incarnations of one host are ordered as strings; see ``new_incarnation``. A
    heartbeat is only ever replaced by a newer one, so merges are idempotent and
    commutative, and a process that was suspended for long can't restore an old state. A
    message holds the sender's heartbeat, a few of other hosts, and many marks, which
    update heartbeats that the receiver has; its size doesn't grow with the fleet. Marks
    carry the age of their heartbeat, so that a mark of a failed host that was relayed
    slowly doesn't make the host look alive. Times are monotonic seconds.
    """

    def __init__(self, own: Heartbeat, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._seeds: dict[str, PeerAddress] = {}
        self._leaving: frozenset[str] = frozenset()
        self._superseded_by = ""
        self._urgent = UrgentChanges()
        self._incarnations = IncarnationIndex()
        self._hosts_cache: CachedHosts | None = None

    def __len__(self) -> int:
        return len(self._members)

    @property
    def own(self) -> Heartbeat:
        """Return this host's latest heartbeat."""
        return self._own

    @property
    def superseded_by(self) -> str:
        """Return a newer incarnation of this host, or an empty string.

        A superseded process must no longer take part in the fleet: it was suspended
        while another was started in its place.
        """
        return self._superseded_by

    def add_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Add peers from the settings: addresses to contact, not yet members."""
        for seed in seeds:
            if seed.host != self._own.host:
                self._seeds[seed.host] = seed

    def apply_host_list(self, listed: Iterable[ListedMember]) -> None:
        """Apply the platform's host list: addresses to contact and hosts that leave.

        The list is delayed, so it doesn't tell whether a host is alive: a listed host
        may have failed, and a missing one may be alive.
        """
        entries = [entry for entry in listed if entry.host != self._own.host]
        self._leaving = frozenset(entry.host for entry in entries if entry.leaving)
        self._hosts_cache = None
        for entry in entries:
            if not entry.leaving:
                address = PeerAddress(entry.host, entry.address, entry.keeper_port)
                self._seeds[entry.host] = address

    def update_own(self, draining: bool, config_offset: int) -> Heartbeat:
        """Create and return this host's next heartbeat."""
        self._hosts_cache = None
        self._own = msgspec.structs.replace(
            self._own,
            sequence=self._own.sequence + 1,
            draining=draining,
            config_offset=config_offset,
        )
        return self._own

    def merge(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Merge heartbeats from a peer."""
        self._hosts_cache = None
        for heartbeat in heartbeats:
            if heartbeat.host == self._own.host:
                self._check_superseded(heartbeat)
                continue
            known = self._members.get(heartbeat.host)
            if known is None or _recency(heartbeat) > _recency(known.heartbeat):
                self._set(heartbeat, now)

    def merge_marks(self, marks: Iterable[HeartbeatMark], now: float) -> None:
        """Merge marks from a peer; unknown incarnations are requested later."""
        for mark in marks:
            if mark.incarnation_crc == incarnation_crc(self._own.incarnation):
                continue
            known = self.heartbeat_by_crc(mark.incarnation_crc)
            if known is None:
                self._incarnations.want(mark.incarnation_crc)
            elif mark.sequence > known.sequence:
                heartbeat = msgspec.structs.replace(
                    known,
                    sequence=mark.sequence,
                    draining=mark.draining,
                    config_offset=mark.config_offset,
                )
                self._set(heartbeat, now - mark.age)

    def outgoing_heartbeats(self) -> tuple[Heartbeat, ...]:
        """Return the whole heartbeats for one message, this host's own first."""
        return (self._own, *self.sample(HEARTBEATS_PER_MESSAGE - 1))

    def outgoing_marks(self, now: float) -> tuple[HeartbeatMark, ...]:
        """Return the marks for one message.

        Members whose incarnation or drain flag changed come first, for a bounded number
        of messages; the rest are chosen at random from the half with the newest
        heartbeats.
        """
        urgent = self._urgent.take(MARKS_PER_MESSAGE // 2)
        recent = self._sample_recent(MARKS_PER_MESSAGE - len(urgent), set(urgent))
        return tuple(_mark(self._members[host], now) for host in (*urgent, *recent))

    def sample(self, count: int) -> tuple[Heartbeat, ...]:
        """Return the heartbeats of ``count`` random members, or of all."""
        hosts = sorted(self._members)
        chosen = self._rng.sample(hosts, min(count, len(hosts)))
        return tuple(self._members[host].heartbeat for host in chosen)

    def take_wanted(self) -> tuple[int, ...]:
        """Return the unknown incarnations to request from a peer, and clear them."""
        return self._incarnations.take_wanted()

    def heartbeat(self, host: str) -> Heartbeat | None:
        """Return the newest heartbeat of another host, or None."""
        member = self._members.get(host)
        return None if member is None else member.heartbeat

    def heartbeat_by_crc(self, crc: int) -> Heartbeat | None:
        """Return the newest heartbeat of an incarnation by its CRC-32, or None."""
        host = self._incarnations.host(crc)
        return None if host is None else self.heartbeat(host)

    def choose_peers(self, now: float) -> tuple[PeerAddress, ...]:
        """Return the peers of this round.

        They are chosen at random among the members that are not gone. With
        ABSENT_PEER_PROBABILITY one of them is instead a seed that was never heard of
        or a member that is gone, so that a healed partition is noticed.
        """
        present, absent = self._split_peers(now)
        count = min(PEERS_PER_ROUND, len(present))
        if absent and (not present or self._rng.random() < ABSENT_PEER_PROBABILITY):
            others = self._rng.sample(present, max(0, count - 1))
            return (self._rng.choice(absent), *others)
        return tuple(self._rng.sample(present, count))

    def heartbeat_age(self, host: HostName, now: float) -> float:
        """Return the age of a host's newest heartbeat in seconds; infinite for none."""
        member = self._members.get(host)
        return float("inf") if member is None else now - member.sent_at

    def state(self, host: HostName, now: float) -> MemberState:
        """Return the state of a host; an unknown one is gone."""
        if host == self._own.host:
            return MemberState.ALIVE
        heartbeat_age = self.heartbeat_age(host, now)
        limit = self.suspect_seconds()
        if heartbeat_age < limit:
            return MemberState.ALIVE
        if heartbeat_age < GONE_FACTOR * limit:
            return MemberState.SUSPECT
        return MemberState.GONE

    def is_draining(self, host: HostName) -> bool:
        """Return whether a host's heartbeat says draining or the host list leaving."""
        if host == self._own.host:
            return self._own.draining
        member = self._members.get(host)
        return host in self._leaving or (
            member is not None and member.heartbeat.draining
        )

    def hosts(self, now: float) -> tuple[EntryHost, ...]:
        """Return all known hosts, this one first, then by name.

        The list is cached for HOSTS_CACHE_SECONDS while nothing changes, so that the
        cost of requests in quick succession doesn't grow with the fleet.
        """
        cached = self._hosts_cache
        if cached is None or now - cached.time >= HOSTS_CACHE_SECONDS:
            cached = CachedHosts(now, self._all_hosts(now))
            self._hosts_cache = cached
        return cached.hosts

    def _all_hosts(self, now: float) -> tuple[EntryHost, ...]:
        heartbeats = [member.heartbeat for _, member in sorted(self._members.items())]
        return tuple(
            self._entry_host(heartbeat, now) for heartbeat in (self._own, *heartbeats)
        )

    def drop_expired(self, now: float) -> None:
        """Drop members without a newer heartbeat for MEMBER_RETENTION_SECONDS."""
        old = [
            host
            for host, member in self._members.items()
            if now - member.sent_at >= MEMBER_RETENTION_SECONDS
        ]
        for host in old:
            self._hosts_cache = None
            member = self._members.pop(host)
            self._incarnations.remove(member.heartbeat.incarnation)
            self._urgent.discard(host)

    def suspect_seconds(self) -> float:
        """Return the heartbeat age, in seconds, that makes a member suspect."""
        marks_per_second = (
            2 * PEERS_PER_ROUND * MARKS_PER_MESSAGE / GOSSIP_INTERVAL_SECONDS
        )
        return (
            BASE_SUSPECT_SECONDS
            + RELAY_INTERVAL_FACTOR * len(self._members) / marks_per_second
        )

    def _split_peers(self, now: float) -> tuple[list[PeerAddress], list[PeerAddress]]:
        """Return the peers that are not gone, and those gone or never heard of."""
        gone_seconds = GONE_FACTOR * self.suspect_seconds()
        present: list[PeerAddress] = []
        absent: list[PeerAddress] = []
        for _, member in sorted(self._members.items()):
            peer = _peer_address(member.heartbeat)
            is_gone = now - member.sent_at >= gone_seconds
            (absent if is_gone else present).append(peer)
        absent += [
            seed
            for host, seed in sorted(self._seeds.items())
            if host not in self._members
        ]
        return present, absent

    def _set(self, heartbeat: Heartbeat, now: float) -> None:
        self._hosts_cache = None
        known = self._members.get(heartbeat.host)
        self._members[heartbeat.host] = Member(heartbeat, now)
        if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
            if known is not None:
                self._incarnations.remove(known.heartbeat.incarnation)
            self._incarnations.add(heartbeat.incarnation, heartbeat.host)
        elif known.heartbeat.draining == heartbeat.draining:
            return
        sends = BASE_URGENT_SENDS + len(self._members).bit_length()
        self._urgent.add(heartbeat.host, sends)

    def _sample_recent(self, count: int, taken: set[str]) -> list[str]:
        hosts = [host for host in sorted(self._members) if host not in taken]
        hosts.sort(key=lambda host: -self._members[host].sent_at)
        recent = hosts[: max(count, len(hosts) // 2)]
        return self._rng.sample(recent, min(count, len(recent)))

    def _check_superseded(self, heartbeat: Heartbeat) -> None:
        newest = max(self._own.incarnation, self._superseded_by)
        if heartbeat.incarnation > newest:
            self._superseded_by = heartbeat.incarnation

    def _entry_host(self, heartbeat: Heartbeat, now: float) -> EntryHost:
        host = HostName(heartbeat.host)
        return EntryHost(
            host=heartbeat.host,
            data_centre=heartbeat.data_centre,
            address=heartbeat.address,
            router_port=heartbeat.router_port,
            keeper_port=heartbeat.keeper_port,
            control_port=heartbeat.control_port,
            draining=self.is_draining(host),
            alive=self.state(host, now) is not MemberState.GONE,
            config_offset=heartbeat.config_offset,
            incarnation=heartbeat.incarnation,
        )


def _recency(heartbeat: Heartbeat) -> tuple[str, int]:
    return (heartbeat.incarnation, heartbeat.sequence)


def _mark(member: Member, now: float) -> HeartbeatMark:
    heartbeat = member.heartbeat
    return HeartbeatMark(
        incarnation_crc(heartbeat.incarnation),
        heartbeat.sequence,
        heartbeat.draining,
        heartbeat.config_offset,
        age=math.ceil(now - member.sent_at),
    )


def _peer_address(heartbeat: Heartbeat) -> PeerAddress:
    return PeerAddress(
        HostName(heartbeat.host), heartbeat.address, heartbeat.keeper_port
    )
