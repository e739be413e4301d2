from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.membership.drain_plan import DRAIN_PROPAGATION_SECONDS
from knapweeddrum.core.membership.gossip_exchange import GossipExchange
from knapweeddrum.core.membership.listed_member import ListedMember
from knapweeddrum.core.membership.member_state import MemberState
from knapweeddrum.core.membership.member_table import (
    GONE_FACTOR,
    HEARTBEATS_PER_MESSAGE,
    HOSTS_CACHE_SECONDS,
    MARKS_PER_MESSAGE,
    PEERS_PER_ROUND,
)
from knapweeddrum.core.membership.new_incarnation import new_incarnation
from knapweeddrum.core.membership.peer_address import PeerAddress
from tests.core.membership.fixtures import new_heartbeat, new_table

OLD_INCARNATION = "h2/keeper/000000000001-0"
NEW_INCARNATION = "h2/keeper/000000000002-0"


def _exchange(table, peer, now):
    """Exchange messages once: a request of ``table`` and the reply of ``peer``."""
    exchange = GossipExchange(table)
    exchange.merge_reply(GossipExchange(peer).reply(exchange.request(now), now), now)


def test_member_without_newer_heartbeats_is_suspect_then_gone():
    """A member is suspect, then gone, without newer heartbeats; repeats don't count."""
    table = new_table("h1")
    table.merge([new_heartbeat("h2", 1)], 0.0)
    table.merge([new_heartbeat("h2", 1)], 4.0)
    limit = table.suspect_seconds()
    assert 5.0 < limit < 6.0
    states = [
        table.state("h2", at)
        for at in (limit - 0.1, limit, 3.0 * limit - 0.1, 3.0 * limit)
    ]
    assert states == [
        MemberState.ALIVE,
        MemberState.SUSPECT,
        MemberState.SUSPECT,
        MemberState.GONE,
    ]
    assert table.state("never heard", 0.0) is MemberState.GONE


def test_replaced_incarnation_is_not_restored():
    """A replaced incarnation is not restored by heartbeats with a higher sequence."""
    table = new_table("h1")
    table.merge([new_heartbeat("h2", 900, OLD_INCARNATION)], 0.0)
    table.merge([new_heartbeat("h2", 1, NEW_INCARNATION)], 1.0)
    table.merge([new_heartbeat("h2", 901, OLD_INCARNATION, draining=True)], 2.0)
    host = table.hosts(2.0)[1]
    assert (host.incarnation, host.draining) == (NEW_INCARNATION, False)


def test_resumed_process_learns_that_it_was_replaced():
    """A suspended process learns of its replacement from a peer's reply."""
    table, peer = new_table("h2"), new_table("h1")
    peer.merge([new_heartbeat("h2", 1, NEW_INCARNATION)], 1.0)
    _exchange(table, peer, 9.0)
    assert table.superseded_by == NEW_INCARNATION
    table.merge([new_heartbeat("h2", 5, OLD_INCARNATION)], 9.0)
    assert table.superseded_by == NEW_INCARNATION


def test_incarnations_sort_by_start_even_after_a_clock_was_set_back():
    """A new incarnation sorts after earlier ones, even if the clock was set back."""
    rng = random.Random(1)
    first = new_incarnation("h2", "keeper", 1_800_000_000_000, rng)
    second = new_incarnation("h2", "keeper", 1_800_000_000_001, rng)
    set_back = new_incarnation("h2", "keeper", 5, rng, above=second)
    assert first < second < set_back


def test_resumed_process_sees_peers_as_gone_until_their_next_heartbeat():
    """After a pause all peers are gone until their next heartbeat arrives."""
    table = new_table("h1")
    table.merge([new_heartbeat("h2", 1)], 0.0)
    assert table.state("h2", 1000.0) is MemberState.GONE
    table.add_seeds([PeerAddress("h2", "127.0.0.1", 8081)])
    assert [peer.host for peer in table.choose_peers(1000.0)] == ["h2"]
    table.merge([new_heartbeat("h2", 2)], 1001.0)
    assert table.state("h2", 1001.0) is MemberState.ALIVE


def test_host_list_adds_addresses_and_leaving_hosts():
    """Listed hosts are contacted but not alive; missing ones are not gone."""
    table = new_table("h1")
    table.merge([new_heartbeat("h2"), new_heartbeat("h3")], 0.0)
    listed = [
        ListedMember("h2", "127.0.0.1", 8081, leaving=True),
        ListedMember("h4", "127.0.0.1", 8081),
    ]
    table.apply_host_list(listed)
    hosts = {host.host: (host.alive, host.draining) for host in table.hosts(1.0)}
    assert hosts == {"h1": (True, False), "h2": (True, True), "h3": (True, False)}
    tried = [peer.host for _ in range(50) for peer in table.choose_peers(1.0)]
    assert set(tried) == {"h2", "h3", "h4"}


def test_mark_updates_only_its_own_incarnation():
    """Marks of replaced or unknown incarnations and older marks change nothing."""
    table, peer = new_table("h1"), new_table("h3")
    peer.merge([new_heartbeat("h2", 7, NEW_INCARNATION, draining=True)], 0.0)
    marks = peer.outgoing_marks(0.0)
    table.merge_marks(marks, 1.0)
    assert table.state("h2", 1.0) is MemberState.GONE
    assert len(GossipExchange(table).request(1.0).wanted) == 1
    table.merge([new_heartbeat("h2", 9, OLD_INCARNATION)], 2.0)
    table.merge_marks(marks, 3.0)
    assert table.heartbeat_age("h2", 3.0) == 1.0
    table.merge([new_heartbeat("h2", 1, NEW_INCARNATION)], 4.0)
    table.merge_marks(marks, 5.0)
    assert (table.heartbeat_age("h2", 5.0), table.is_draining("h2")) == (0.0, True)
    table.merge_marks(marks, 6.0)
    assert table.heartbeat_age("h2", 6.0) == 1.0


def test_relayed_mark_keeps_its_age():
    """A relayed mark is merged with the age that it carries."""
    first, second = new_table("h1"), new_table("h3")
    for table in (first, second):
        table.merge([new_heartbeat("h2", 1)], 0.0)
    first.merge([new_heartbeat("h2", 2)], 1.0)
    second.merge_marks(first.outgoing_marks(4.0), 5.0)
    assert second.heartbeat_age("h2", 5.0) == 3.0


HEARTBEATS = st.lists(
    st.builds(
        new_heartbeat,
        st.sampled_from(("h2", "h3")),
        st.integers(1, 5),
        st.sampled_from((OLD_INCARNATION, NEW_INCARNATION)),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(HEARTBEATS, st.integers(0, 99))
def test_merge_is_idempotent_and_commutative(heartbeats, seed):
    """Merging the same heartbeats in any order and number gives the same hosts."""
    first, second = new_table("h1"), new_table("h1")
    first.merge(heartbeats, 0.0)
    shuffled = [*heartbeats, *heartbeats]
    random.Random(seed).shuffle(shuffled)
    second.merge(shuffled, 0.0)
    assert first.hosts(0.0) == second.hosts(0.0)


def _run_rounds(tables, rounds, now, separated=frozenset(), draining=frozenset()):
    """Run gossip rounds; no messages pass between ``separated`` and other hosts."""
    for _ in range(rounds):
        now += 1.0
        for name, table in tables.items():
            table.update_own(name in draining, 0)
            for peer in table.choose_peers(now):
                if (name in separated) != (peer.host in separated):
                    continue
                _exchange(table, tables[peer.host], now)
    return now


def _new_fleet(size):
    tables = {f"h{number:03}": new_table(f"h{number:03}") for number in range(size)}
    seeds = [PeerAddress(name, "127.0.0.1", 8081) for name in list(tables)[:3]]
    for table in tables.values():
        table.add_seeds(seeds)
    return tables


def _alive(table, now):
    return sum(host.alive for host in table.hosts(now))


def test_partition_and_heal():
    """Each side of a partition sees the other as gone, and as alive after it heals."""
    tables = _new_fleet(7)
    now = _run_rounds(tables, 10, 0.0)
    assert {_alive(table, now) for table in tables.values()} == {7}
    now = _run_rounds(tables, 30, now, separated=frozenset(list(tables)[:3]))
    assert sorted(_alive(table, now) for table in tables.values()) == [3] * 3 + [4] * 4
    now = _run_rounds(tables, 20, now)
    assert {_alive(table, now) for table in tables.values()} == {7}


def test_large_fleet_is_known_with_bounded_messages():
    """In a fleet of 60 all hosts stay alive, with messages of bounded size."""
    tables = _new_fleet(60)
    now = _run_rounds(tables, 50, 0.0)
    assert {_alive(table, now) for table in tables.values()} == {60}
    for table in tables.values():
        assert (
            len(GossipExchange(table).request(now).heartbeats) == HEARTBEATS_PER_MESSAGE
        )
        assert len(GossipExchange(table).request(now).marks) == MARKS_PER_MESSAGE
        assert len(table.choose_peers(now)) <= PEERS_PER_ROUND


def test_all_hosts_know_of_a_drain_in_time():
    """All hosts know of a drain within DRAIN_PROPAGATION_SECONDS."""
    tables = _new_fleet(60)
    now = _run_rounds(tables, 30, 0.0)
    tables["h007"].update_own(True, 0)
    rounds = int(DRAIN_PROPAGATION_SECONDS)
    _run_rounds(tables, rounds, now, draining=frozenset({"h007"}))
    assert all(table.is_draining("h007") for table in tables.values())


def test_host_list_is_cached():
    """The host list is cached, so that not every request sorts a large fleet."""
    table = new_table("h1")
    table.merge([new_heartbeat("h2")], 0.0)
    assert table.hosts(0.0) is table.hosts(HOSTS_CACHE_SECONDS / 2)


def test_changes_invalidate_the_cached_host_list():
    """The cached host list never hides a heartbeat, a drain or a failed host."""
    table = new_table("h1")
    table.hosts(0.0)
    table.merge([new_heartbeat("h2")], 0.0)
    assert [host.host for host in table.hosts(0.0)] == ["h1", "h2"]
    table.merge([new_heartbeat("h2", 2, draining=True)], 0.0)
    assert table.hosts(0.0)[1].draining
    table.update_own(True, 0)
    assert table.hosts(0.0)[0].draining
    table.merge([new_heartbeat("h2", 3)], 0.0)
    table.apply_host_list([ListedMember("h2", "127.0.0.1", 8081, True)])
    assert table.hosts(0.0)[1].draining
    gone = GONE_FACTOR * table.suspect_seconds()
    assert table.hosts(gone - 0.01)[1].alive
    assert not table.hosts(gone + HOSTS_CACHE_SECONDS)[1].alive
