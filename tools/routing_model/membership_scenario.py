"""Propagation of heartbeats, drains and host failures at several fleet sizes."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import msgspec

from knapweeddrum.core.membership.gossip_exchange import GossipExchange
from knapweeddrum.core.membership.member_state import MemberState
from knapweeddrum.core.membership.member_table import (
    GOSSIP_INTERVAL_SECONDS,
    MemberTable,
)
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.value.identifiers import HostName
from tools.routing_model.figures import percentile, rounded
from tools.routing_model.row import Row

SIZES = (7, 120, 370)
SEED = 1
SEEDS_IN_SETTINGS = 7
WARM_UP_ROUNDS = 60
MEASURED_ROUNDS = 20
LOSS_ROUNDS = 200
OBSERVERS = 20


class _Gossip:
    """Member tables that exchange heartbeats, every host once a round."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        self.sent_bytes = 0
        self.tables = {
            HostName(f"entry-{number:03}.xela-norte"): self._new_table(number)
            for number in range(size)
        }
        self.names = list(self.tables)
        self.draining: set[HostName] = set()
        self.failed_hosts: set[HostName] = set()
        seeds = [
            PeerAddress(name, "10.20.30.40", 8081)
            for name in self.names[:SEEDS_IN_SETTINGS]
        ]
        for table in self.tables.values():
            table.add_seeds(seeds)

    def run_round(self) -> None:
        """Advance the time and let each live host exchange with its chosen peers."""
        self.now += GOSSIP_INTERVAL_SECONDS
        for name, table in self.tables.items():
            if name in self.failed_hosts:
                continue
            table.update_own(name in self.draining, 1_000_000)
            for peer in table.choose_peers(self.now):
                self._exchange(table, peer.host)

    def count(self, host: HostName, state: MemberState) -> int:
        """Return how many live hosts see ``host`` in a state."""
        return sum(
            table.state(host, self.now) is state
            for name, table in self.tables.items()
            if name not in self.failed_hosts
        )

    def _exchange(self, table: MemberTable, host: HostName) -> None:
        req = GossipExchange(table).request(self.now)
        self.sent_bytes += len(msgspec.msgpack.encode(req))
        if host in self.failed_hosts:
            return
        reply = GossipExchange(self.tables[host]).reply(req, self.now)
        self.sent_bytes += len(msgspec.msgpack.encode(reply))
        GossipExchange(table).merge_reply(reply, self.now)

    def _new_table(self, number: int) -> MemberTable:
        host = f"entry-{number:03}.xela-norte"
        own = Heartbeat(
            host=host,
            data_centre="xela-norte",
            incarnation=f"{host}/keeper/0199a1b2c3d4-01234567",
            address="10.20.30.40",
            router_port=8080,
            keeper_port=8081,
            control_port=8082,
            sequence=100_000,
            draining=False,
            config_offset=1_000_000,
        )
        return MemberTable(own, random.Random(f"{SEED}/{number}"))


def membership_rows() -> Iterator[Row]:
    """Yield a row for each fleet size."""
    for size in SIZES:
        gossip = _Gossip(size)
        for _ in range(WARM_UP_ROUNDS):
            gossip.run_round()
        figures: dict[str, float | None] = {"hosts": float(size)}
        figures |= _steady_figures(gossip, size)
        figures["drain_known_by_all_s"] = _drain_seconds(gossip, size)
        figures |= _loss_figures(gossip, size)
        yield Row("membership", "gossip", SEED, figures)


def _steady_figures(gossip: _Gossip, size: int) -> dict[str, float | None]:
    gossip.sent_bytes = 0
    for _ in range(MEASURED_ROUNDS):
        gossip.run_round()
    # Counts each byte twice: at its sender and at its receiver.
    seconds = MEASURED_ROUNDS * GOSSIP_INTERVAL_SECONDS
    heartbeat_ages = []
    failed_count = 0
    for name in gossip.names[:OBSERVERS]:
        table = gossip.tables[name]
        heartbeat_ages += [
            table.heartbeat_age(other, gossip.now)
            for other in gossip.names
            if other != name
        ]
        failed_count += sum(not host.alive for host in table.hosts(gossip.now))
    known_ages = [age for age in heartbeat_ages if math.isfinite(age)]
    return {
        "payload_bytes_per_s": rounded(2 * gossip.sent_bytes / seconds / size, 0),
        "silence_p50_s": percentile(known_ages, 0.5),
        "silence_p99_s": percentile(known_ages, 0.99),
        "silence_max_s": max(known_ages),
        "unknown": float(len(heartbeat_ages) - len(known_ages)),
        "wrongly_gone": float(failed_count),
        "suspect_after_s": rounded(table.suspect_seconds(), 1),
    }


def _drain_seconds(gossip: _Gossip, size: int) -> float:
    host = gossip.names[-2]
    gossip.draining.add(host)
    started_at = gossip.now
    while sum(t.is_draining(host) for t in gossip.tables.values()) < size:
        gossip.run_round()
    return gossip.now - started_at


def _loss_figures(gossip: _Gossip, size: int) -> dict[str, float | None]:
    host = gossip.names[-1]
    gossip.failed_hosts.add(host)
    started_at = gossip.now
    seconds_to_half = None
    for _ in range(LOSS_ROUNDS):
        gossip.run_round()
        failed_count = gossip.count(host, MemberState.GONE)
        if seconds_to_half is None and 2 * failed_count >= size:
            seconds_to_half = gossip.now - started_at
        if failed_count == size - 1:
            break
    return {
        "loss_known_by_half_s": seconds_to_half,
        "loss_known_by_all_s": gossip.now - started_at,
    }
