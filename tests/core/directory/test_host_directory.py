from __future__ import annotations

import collections
import dataclasses

from knapweeddrum.core.directory.host_directory import (
    HEARTBEAT_TIMEOUT_SECONDS,
    MAX_ADDRESSES,
    HostDirectory,
)
from knapweeddrum.message.call.sighting import Sighting
from knapweeddrum.value.host_record import HostRecord


def heartbeat(name: str, beat: int = 1, *, ready: bool = True) -> HostRecord:
    return HostRecord(name, f"{name}/1", f"{name}:80", f"{name}:90", "a", ready, beat)


def directory_with(names: tuple[str, ...]) -> HostDirectory:
    directory = HostDirectory("own")
    directory.store_answered(0.0)
    for offset, name in enumerate(names):
        directory.apply_heartbeat(name, offset, heartbeat(name))
    return directory


def test_answer_holds_this_host_and_the_ready_ones():
    """A host that is not ready, or drains, is left out."""
    directory = directory_with(("own", "b", "c"))
    assert directory.addresses("own:80") == ["own:80", "b:80", "c:80"]
    directory.apply_heartbeat("b", 9, heartbeat("b", 2, ready=False))
    assert directory.addresses(None) == ["c:80"]
    assert directory.host_count() == 2


def test_host_without_heartbeats_is_left_out_only_while_the_store_answers():
    """An outage of the store stops all heartbeats and removes no host."""
    directory = directory_with(("own", "b"))
    directory.store_lost()
    directory.store_answered(60.0)
    assert directory.addresses("own:80") == ["own:80", "b:80"]
    directory.store_answered(60.0 + HEARTBEAT_TIMEOUT_SECONDS + 0.1)
    assert directory.addresses("own:80") == ["own:80"]
    directory.apply_heartbeat("b", 20, heartbeat("b", 2))
    assert directory.addresses("own:80") == ["own:80", "b:80"]


def test_host_that_ended_in_an_outage_is_left_out_soon_after_it():
    """Callers were sent to it until 5 s of store time had passed after the return."""
    directory = directory_with(("own", "b", "c"))
    directory.store_answered(1.5)
    directory.apply_heartbeat("b", 10, heartbeat("b", 2))
    directory.store_lost()
    for number, now in enumerate((4.8, 6.3, 7.8)):
        assert "b:80" in directory.addresses("own:80")
        directory.apply_heartbeat("c", 20 + number, heartbeat("c", 2 + number))
        directory.store_answered(now)
    assert directory.addresses("own:80") == ["own:80", "c:80"]
    assert [host.name for host in directory.running_hosts()] == ["b", "c"]


def test_host_that_answered_directly_in_an_outage_stays_in_the_directory():
    """Its heartbeats are not written yet, though the store is read."""
    directory = directory_with(("own", "b"))
    directory.store_lost()
    directory.apply_direct(heartbeat("b"), 60.0)
    for now in (58.0, 59.5, 61.0):
        directory.store_answered(now)
    assert "b:80" in directory.addresses("own:80")


def test_outage_before_the_first_read_leaves_nobody_out():
    """Heartbeats of the first listing may have been written just before it."""
    directory = HostDirectory("own")
    directory.apply_heartbeat("b", 1, heartbeat("b"))
    for now in (1000.0, 1001.5, 1003.0):
        directory.store_answered(now)
    assert directory.addresses(None) == ["b:80"]


def test_heartbeat_read_twice_or_late_counts_once():
    """An older record neither makes a host ready again nor replaces a newer one."""
    directory = directory_with(("own", "b"))
    directory.apply_heartbeat("b", 10, heartbeat("b", 3, ready=False))
    directory.apply_heartbeat("b", 1, heartbeat("b"))
    assert directory.addresses(None) == []


def test_heartbeats_of_an_older_copy_bring_nobody_back():
    """Neither a host that has ended nor the incarnation before the present one."""
    directory = directory_with(("own", "b"))
    later = dataclasses.replace(heartbeat("b"), incarnation="b/2")
    directory.apply_heartbeat("b", 10, later)
    directory.apply_heartbeat("b", 1_000, heartbeat("b", 9))
    assert not directory.is_replaced("b/2")
    assert directory.find("b/2") == later
    directory.store_answered(HEARTBEAT_TIMEOUT_SECONDS + 0.1)
    directory.apply_heartbeat("b", 1_001, later)
    assert directory.addresses("own:80") == ["own:80"]


def test_callers_are_spread_over_all_hosts_of_a_large_fleet():
    """Before a working set is known, no host gets thrice the mean nor under a tenth."""
    names = [f"h{number:03}" for number in range(300)]
    counts: collections.Counter[str] = collections.Counter()
    for own in names:
        directory = HostDirectory(own)
        directory.store_answered(0.0)
        for offset, name in enumerate(names):
            directory.apply_heartbeat(name, offset, heartbeat(name))
        answer = directory.addresses(f"{own}:80")
        assert len(answer) == MAX_ADDRESSES
        assert answer == directory.addresses(f"{own}:80")
        counts.update(answer)
    mean = sum(counts.values()) / len(names)
    assert len(counts) == len(names)
    assert max(counts.values()) <= 3 * mean
    assert min(counts.values()) >= mean / 10


def test_host_whose_heartbeats_do_not_get_through_stays_while_it_is_heard_of():
    """Directly or through another host; without that it is left out as before."""
    directory = directory_with(("own", "b", "c"))
    directory.store_answered(4.5)
    assert [host.name for host in directory.suspects(4.5)] == ["b", "c"]
    directory.apply_direct(heartbeat("b", 4), 4.5)
    directory.apply_sightings([Sighting("c", "c/1", 3.0)], 4.5)
    directory.store_answered(HEARTBEAT_TIMEOUT_SECONDS + 1.0)
    assert [host.name for host in directory.running_hosts()] == ["b", "c"]
    directory.store_answered(HEARTBEAT_TIMEOUT_SECONDS + 2.0)
    assert [host.name for host in directory.running_hosts()] == ["b"]
    assert directory.writing_names() == frozenset()


def test_sighting_of_an_earlier_incarnation_keeps_nobody_alive():
    """It may have been told on after the host started again."""
    directory = directory_with(("own", "b"))
    directory.apply_sightings([Sighting("b", "b/0", 0.0)], 4.0)
    directory.store_answered(HEARTBEAT_TIMEOUT_SECONDS + 0.1)
    assert directory.running_hosts() == []


def test_host_that_could_write_no_heartbeat_is_known_by_its_own_word():
    """It replaces its earlier incarnation, whose word counts no more."""
    directory = directory_with(("own", "b"))
    later = dataclasses.replace(heartbeat("b"), incarnation="b/2")
    assert directory.apply_direct(later, 1.0)
    assert not directory.apply_direct(later, 1.5)
    assert not directory.apply_direct(heartbeat("b", 9), 2.0)
    assert directory.is_replaced("b/1")
    assert [host.incarnation for host in directory.running_hosts()] == ["b/2"]


def test_late_heartbeat_of_an_ended_process_does_not_replace_the_living_one():
    """A write may be carried out seconds after its host has ended and started again."""
    directory = directory_with(("own",))
    later = dataclasses.replace(heartbeat("b"), incarnation="b/2")
    directory.apply_heartbeat("b", 10, later)
    directory.apply_heartbeat("b", 11, heartbeat("b", 40))
    assert [host.incarnation for host in directory.ready_hosts()] == ["b/2"]
    assert not directory.is_gone("b/2")


def test_host_that_started_while_its_clock_was_back_is_known_by_its_own_word():
    """Its incarnation sorts before the one that has ended."""
    directory = directory_with(("own",))
    ended = dataclasses.replace(heartbeat("b", 7), incarnation="b/2")
    directory.apply_heartbeat("b", 10, ended)
    directory.apply_heartbeat("b", 11, heartbeat("b"))
    directory.apply_direct(heartbeat("b"), 3.0)
    directory.apply_heartbeat("b", 12, heartbeat("b", 2))
    assert [host.incarnation for host in directory.ready_hosts()] == ["b/1"]
    assert directory.is_replaced("b/2")
