"""Exchange of heartbeats with the keepers of other hosts."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from knapweeddrum.core.membership.gossip_exchange import GossipExchange
from knapweeddrum.core.membership.listed_member import ListedMember
from knapweeddrum.core.membership.member_table import (
    GOSSIP_INTERVAL_SECONDS,
    MemberTable,
)
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.host_list import HostList
from knapweeddrum.platform.listed_host import ListedHost
from knapweeddrum.process.keeper.crash_exchange import CrashExchange
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import EXCHANGE
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import SUPERSEDED
from knapweeddrum.value.drain_source import DrainSource
from knapweeddrum.value.identifiers import HostName

HEARTBEAT_EXCHANGE_TIMEOUT_SECONDS = 1.0
HOST_LIST_READ_PERIOD_SECONDS = 5.0


class MembershipTask:
    """Owns the table of hosts and exchanges heartbeats with a few peers each round.

    ``superseded`` is set when a peer reports a newer incarnation of this keeper.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: PeerChannels,
        host_list: HostList,
        offset_in_force: Callable[[], int],
        clock: Callable[[], float],
        events: EventLog,
        seeds: tuple[PeerAddress, ...],
    ) -> None:
        self._drains: set[DrainSource] = set()
        self.crashes = CrashExchange()
        self.superseded = anyio.Event()
        self._table = table
        self._gossip = GossipExchange(table)
        self._peers = peers
        self._host_list = host_list
        self._offset_in_force = offset_in_force
        self._clock = clock
        self._events = events
        self._seed_ports = {str(seed.host): seed.keeper_port for seed in seeds}
        table.add_seeds(seeds)

    def hosts(self) -> tuple[EntryHost, ...]:
        """Return all known hosts, this one first."""
        return self._table.hosts(self._clock())

    def live_peers(self) -> tuple[EntryHost, ...]:
        """Return the other hosts that have not failed, sorted by name."""
        return tuple(host for host in self.hosts()[1:] if host.alive)

    def live_incarnations(self) -> frozenset[str]:
        """Return the incarnations of keepers that have not failed, with this one."""
        own = self._table.own.incarnation
        return frozenset({own, *(peer.incarnation for peer in self.live_peers())})

    def set_drain(self, source: DrainSource, draining: bool) -> None:
        """Record whether a source drains this host, and update the heartbeat."""
        if draining:
            self._drains.add(source)
        else:
            self._drains.discard(source)
        self.update_heartbeat()

    def is_drained_by(self, source: DrainSource) -> bool:
        """Return whether a source drains this host."""
        return source in self._drains

    def update_heartbeat(self) -> None:
        """Update the heartbeat of this host for the next exchange."""
        self._table.update_own(bool(self._drains), self._offset_in_force())

    def merge_heartbeats(self, req: ExchangeRequest) -> ExchangeReply:
        """Merge a peer's heartbeats and return those that this host knows."""
        self.crashes.merge(req.crashes)
        return self._gossip.reply(req, self._clock())

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_host_list)
            while True:
                await self.round()
                await anyio.sleep(GOSSIP_INTERVAL_SECONDS)

    async def round(self) -> None:
        """Exchange heartbeats with the peers of one round."""
        self.update_heartbeat()
        now = self._clock()
        crashes = self.crashes.next_round()
        async with anyio.create_task_group() as tasks:
            for peer in self._table.choose_peers(now):
                tasks.start_soon(self._exchange, peer, crashes)
        self._table.drop_expired(now)
        if self._table.superseded_by and not self.superseded.is_set():
            self._events.emit(SUPERSEDED, incarnation=self._table.superseded_by)
            self.superseded.set()

    async def _exchange(
        self, peer: PeerAddress, crashes: tuple[CrashRecord, ...]
    ) -> None:
        caller = self._peers.at(peer.address, peer.keeper_port)
        request = msgspec.structs.replace(
            self._gossip.request(self._clock()), crashes=crashes
        )
        try:
            reply = await caller.call(
                EXCHANGE, request, HEARTBEAT_EXCHANGE_TIMEOUT_SECONDS
            )
        except RpcError:
            # The table detects the failure by missing heartbeats.
            return
        self._gossip.merge_reply(reply, self._clock())

    async def _read_host_list(self) -> None:
        while True:
            try:
                listed = await self._host_list.read()
            except PlatformError:
                listed = ()
            if listed:
                self._table.apply_host_list(self._members(listed))
            await anyio.sleep(HOST_LIST_READ_PERIOD_SECONDS)

    def _members(self, listed: tuple[ListedHost, ...]) -> tuple[ListedMember, ...]:
        """Return the listed hosts that are known entry hosts.

        The list also contains endpoints, which no peer or heartbeat names.
        """
        known = {host.host: host.keeper_port for host in self.hosts()}
        known.update(self._seed_ports)
        return tuple(
            ListedMember(
                HostName(entry.name), entry.address, known[entry.name], entry.leaving
            )
            for entry in listed
            if entry.name in known
        )
