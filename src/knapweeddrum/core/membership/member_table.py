"""The hosts of the fleet as one node knows them."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from knapweeddrum.core.membership.listed_member import ListedMember
from knapweeddrum.core.membership.member import Member
from knapweeddrum.core.membership.member_state import MemberState
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.value.identifiers import HostName

PEERS_PER_ROUND = 2
"""Peers that a node exchanges heartbeats with in a round."""

HEARTBEATS_PER_MESSAGE = 8
"""Heartbeats in one message, the sender's own included."""

ROUND_SECONDS = 1.0
"""Time between two rounds."""

SUSPECT_SECONDS = 5.0
"""Silence that makes a member of a small fleet suspect."""

GONE_FACTOR = 3.0
"""A member is gone after this many times the silence that makes it suspect."""

SPREAD_FACTOR = 3.0
"""Mean times between two fresh heartbeats of a member before it is suspect."""

FORGET_SECONDS = 3600.0
"""Time after which a gone member is forgotten."""


class MemberTable:
    """Newest heartbeat of each host, by incarnation and then sequence.

    Incarnations of one host are ordered as strings; see ``new_incarnation``. What a
    node knows of a host only ever moves to a newer heartbeat, so merges are idempotent
    and commutative, and a process that was frozen can bring nothing old back. Times
    are monotonic seconds.
    """

    def __init__(self, own: Heartbeat, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._seeds: dict[str, PeerAddress] = {}
        self._leaving: frozenset[str] = frozenset()
        self._superseded_by = ""

    @property
    def own(self) -> Heartbeat:
        """Return this node's last heartbeat."""
        return self._own

    @property
    def superseded_by(self) -> str:
        """Return a newer incarnation of this host, or an empty string.

        A process that finds itself superseded takes no part any more: it was frozen
        while another was started in its place.
        """
        return self._superseded_by

    def add_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Take peers from the settings; they are only addresses to try."""
        for seed in seeds:
            if seed.host != self._own.host:
                self._seeds[seed.host] = seed

    def apply_host_list(self, listed: Iterable[ListedMember]) -> None:
        """Take the platform's list: addresses to try, and who is leaving.

        The list lags, so that a host in it isn't alive for that, nor one that is
        missing gone.
        """
        entries = [entry for entry in listed if entry.host != self._own.host]
        self._leaving = frozenset(entry.host for entry in entries if entry.leaving)
        for entry in entries:
            if not entry.leaving:
                address = PeerAddress(entry.host, entry.address, entry.keeper_port)
                self._seeds[entry.host] = address

    def update_own(self, draining: bool, config_offset: int) -> Heartbeat:
        """Make and return this node's next heartbeat."""
        self._own = msgspec.structs.replace(
            self._own,
            sequence=self._own.sequence + 1,
            draining=draining,
            config_offset=config_offset,
        )
        return self._own

    def merge(self, heartbeats: Iterable[Heartbeat], now: float) -> None:
        """Take heartbeats from a peer."""
        for heartbeat in heartbeats:
            if heartbeat.host == self._own.host:
                self._check_superseded(heartbeat)
                continue
            known = self._members.get(heartbeat.host)
            if known is None or _age_key(heartbeat) > _age_key(known.heartbeat):
                self._members[heartbeat.host] = Member(heartbeat, now)

    def outgoing(self) -> tuple[Heartbeat, ...]:
        """Return what to send: the own heartbeat, then the newest of others."""
        newest = sorted(
            self._members.values(),
            key=lambda member: (-member.heard_at, member.heartbeat.host),
        )
        others = [member.heartbeat for member in newest[: HEARTBEATS_PER_MESSAGE - 1]]
        return (self._own, *others)

    def choose_peers(self, now: float) -> tuple[PeerAddress, ...]:
        """Return the peers of this round.

        They are random among those not gone; one in place of another is a seed that
        was never heard or is gone, so that partitions heal.
        """
        present = [
            _peer_address(member.heartbeat)
            for host, member in sorted(self._members.items())
            if self.state(HostName(host), now) is not MemberState.GONE
        ]
        known = {peer.host for peer in present}
        absent = [
            seed for host, seed in sorted(self._seeds.items()) if host not in known
        ]
        chosen = self._rng.sample(present, min(PEERS_PER_ROUND, len(present)))
        if absent:
            chosen = [self._rng.choice(absent), *chosen[: PEERS_PER_ROUND - 1]]
        return tuple(chosen)

    def state(self, host: HostName, now: float) -> MemberState:
        """Return the state of a host; an unknown one is gone."""
        if host == self._own.host:
            return MemberState.ALIVE
        member = self._members.get(host)
        if member is None:
            return MemberState.GONE
        silence = now - member.heard_at
        limit = self.suspect_seconds()
        if silence < limit:
            return MemberState.ALIVE
        if silence < GONE_FACTOR * limit:
            return MemberState.SUSPECT
        return MemberState.GONE

    def is_draining(self, host: HostName) -> bool:
        """Return whether a host says that it is draining, or the host list does."""
        if host == self._own.host:
            return self._own.draining
        member = self._members.get(host)
        return host in self._leaving or (
            member is not None and member.heartbeat.draining
        )

    def hosts(self, now: float) -> tuple[EntryHost, ...]:
        """Return all known hosts, this one first, then by name."""
        heartbeats = [member.heartbeat for _, member in sorted(self._members.items())]
        return tuple(
            self._entry_host(heartbeat, now) for heartbeat in (self._own, *heartbeats)
        )

    def forget_gone(self, now: float) -> None:
        """Forget members that have been silent for very long."""
        old = [
            host
            for host, member in self._members.items()
            if now - member.heard_at >= FORGET_SECONDS
        ]
        for host in old:
            del self._members[host]

    def suspect_seconds(self) -> float:
        """Return the silence that makes a member suspect; it grows with the fleet."""
        heard = 2 * PEERS_PER_ROUND * (HEARTBEATS_PER_MESSAGE - 1) / ROUND_SECONDS
        spread = SPREAD_FACTOR * len(self._members) / heard
        return max(SUSPECT_SECONDS, spread)

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


def _age_key(heartbeat: Heartbeat) -> tuple[str, int]:
    return (heartbeat.incarnation, heartbeat.sequence)


def _peer_address(heartbeat: Heartbeat) -> PeerAddress:
    return PeerAddress(
        HostName(heartbeat.host), heartbeat.address, heartbeat.keeper_port
    )
