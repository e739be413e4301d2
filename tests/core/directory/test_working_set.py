from __future__ import annotations

import dataclasses
import random

from nose2.tools import params

from knapweeddrum.core.directory.host_capacity import host_capacity
from knapweeddrum.core.directory.host_directory import MAX_ADDRESSES, HostDirectory
from knapweeddrum.core.directory.working_set import (
    LINGER_SECONDS,
    MIN_HOSTS,
    SMALL_FLEET_HOSTS,
    WorkingSet,
)
from knapweeddrum.value.host_record import HostRecord

WEAK = host_capacity(processor_cores=0.516, link_mbps=20.0)
STRONG = host_capacity(processor_cores=2.15, link_mbps=200.0)
ENDPOINTS = 45
ANSWER_SECONDS = 1.0
DAY_SECONDS = 20.0


def host(number: int, capacity: float = WEAK, rate: float = 0.0) -> HostRecord:
    name = f"host-{number:03}"
    return HostRecord(
        name, f"{name}/1", f"{name}:80", f"{name}:90", "a", True, 1, capacity, rate
    )


def fleet(count: int, strong: int = 0, rate: float = 0.0) -> list[HostRecord]:
    """Return hosts, the first of them strong; ``rate`` is the demand at all of them."""
    return [
        host(number, STRONG if number < strong else WEAK, rate / count)
        for number in range(count)
    ]


def members(hosts: list[HostRecord]) -> list[HostRecord]:
    working_set = WorkingSet()
    working_set.update(hosts, 0.0)
    return [record for record in hosts if record.name in working_set.names]


def directory_at(own: HostRecord, hosts: list[HostRecord]) -> HostDirectory:
    directory = HostDirectory(own.name)
    directory.store_answered(0.0)
    for offset, record in enumerate(hosts):
        directory.apply_heartbeat(record.name, offset, record)
    directory.update_working_set(own, 0.0)
    return directory


def connections_opened(hosts: list[HostRecord], per_second: float) -> int:
    """Play requests at random hosts and endpoints; return the connections opened."""
    rng = random.Random(0)
    idle_at: dict[tuple[str, int], list[float]] = {}
    opened = 0
    for number in range(int(per_second * DAY_SECONDS)):
        now = number / per_second
        key = (rng.choice(hosts).name, rng.randrange(ENDPOINTS))
        conns = idle_at.setdefault(key, [])
        free = [at for at in conns if at <= now]
        if free:
            conns.remove(free[0])
        else:
            opened += 1
        conns.append(now + ANSWER_SECONDS)
    return opened


@params((7, 0), (SMALL_FLEET_HOSTS, 0))
def test_all_hosts_of_a_small_fleet_carry_requests(count, strong):
    """Each of few hosts is needed."""
    assert len(members(fleet(count, strong))) == count


@params((62, 8), (80, 6), (195, 18), (370, 18), (370, 0))
def test_set_is_small_strong_and_has_room(count, strong):
    """It carries three times the demand, and no strong host is left out for a weak."""
    demand = 1.4 * count
    chosen = members(fleet(count, strong, demand))
    weakest = min(record.capacity for record in chosen)
    assert MIN_HOSTS <= len(chosen) < count / 2
    assert len(chosen) * weakest >= 3 * demand
    if weakest == WEAK:
        assert sum(record.capacity == STRONG for record in chosen) == strong


@params((195, 18), (370, 18))
def test_all_hosts_send_callers_to_the_same_hosts(count, strong):
    """Whichever host is asked, the answer names the same addresses."""
    hosts = fleet(count, strong, rate=300.0)
    answers = {
        tuple(sorted(directory_at(own, hosts).addresses(own.address))) for own in hosts
    }
    assert len(answers) == 1


def test_set_grows_with_demand_before_it_is_used_up():
    """At a burst more hosts carry requests, in the end all of them."""
    sizes = [len(members(fleet(195, 18, rate))) for rate in (100, 900, 1500, 9000)]
    assert sizes == sorted(sizes)
    assert sizes[1] > sizes[0]
    assert sizes[-1] == 195


def largest_share(chosen: list[HostRecord], demand: float) -> float:
    """Return the largest part of a member's capacity that random callers use."""
    return demand / len(chosen) / min(record.capacity for record in chosen)


@params((91, 8, 300.0), (91, 8, 560.0), (62, 8, 400.0), (195, 18, 1200.0))
def test_weak_hosts_join_only_when_the_strong_ones_are_short(count, strong, demand):
    """At a burst of twice the usual load 27 weak hosts got most of the requests."""
    chosen = members(fleet(count, strong, demand))
    assert [record.capacity for record in chosen] == [STRONG] * strong
    assert largest_share(chosen, demand) <= 1 / 1.5
    more = members(fleet(count, strong, STRONG * strong / 1.49))
    assert len(more) > strong


@params((91, 8), (30, 8), (20, 10), (195, 18))
def test_members_that_join_make_the_largest_share_smaller(count, strong):
    """Few weak hosts beside strong ones can carry less than the strong ones alone."""
    for demand in (50.0, 300.0, 700.0, 1500.0, 9000.0):
        hosts = fleet(count, strong, demand)
        chosen = members(hosts)
        if len(chosen) > strong:
            assert largest_share(chosen, demand) < largest_share(hosts[:strong], demand)
        else:
            carried = len(chosen) * STRONG
            assert carried >= 1.5 * demand or count * WEAK <= strong * STRONG


@params(1, 2, 4)
def test_set_without_the_members_that_vanish_still_carries_the_demand(parts):
    """After the loss of all members, a half or a quarter, others take their place."""
    hosts = fleet(195, 18, rate=270.0)
    working_set = WorkingSet()
    working_set.update(hosts, 0.0)
    lost = sorted(working_set.names)[::parts]
    left = [record for record in hosts if record.name not in lost]
    working_set.update(left, 1.5)
    assert not working_set.names & set(lost)
    chosen = [record for record in left if record.name in working_set.names]
    needed = 3 * sum(record.request_rate for record in left)
    assert len(chosen) * min(record.capacity for record in chosen) >= needed


def test_member_that_is_no_longer_needed_stays_for_a_while():
    """Callers leave connections to hosts that an answer doesn't name."""
    working_set = WorkingSet()
    working_set.update(fleet(195, 18, rate=1500.0), 0.0)
    grown = working_set.names
    working_set.update(fleet(195, 18, rate=100.0), LINGER_SECONDS - 0.1)
    assert working_set.names == grown
    working_set.update(fleet(195, 18, rate=100.0), LINGER_SECONDS)
    assert len(working_set.names) < len(grown)


@params(62, 91, 370)
def test_host_that_was_alone_at_its_start_does_not_go_on_naming_itself(count):
    """It reads of the others a moment later; it named itself for 20 s more."""
    hosts = fleet(count, 8)
    own = hosts[-1]
    working_set = WorkingSet()
    working_set.update([own], 0.0)
    assert working_set.names == {own.name}
    working_set.update([own, *hosts[:3]], 1.5)
    assert len(working_set.names) == 4
    working_set.update(hosts, 3.0)
    assert working_set.names == {host.name for host in members(hosts)}
    assert own.name not in working_set.names


@params(62, 91)
def test_weak_hosts_that_start_first_make_way_before_requests_come(count):
    """A fleet that starts in pieces named them for 20 s beside the strong ones."""
    hosts = fleet(count, 8)
    working_set = WorkingSet()
    working_set.update(hosts[-30:], 0.0)
    assert len(working_set.names) >= MIN_HOSTS
    working_set.update(hosts, 1.5)
    assert working_set.names == {host.name for host in members(hosts)}


def test_hosts_of_a_small_fleet_that_grows_stay_for_a_while():
    """Callers have connections to them."""
    small = fleet(SMALL_FLEET_HOSTS, rate=20.0)
    working_set = WorkingSet()
    for now in range(int(LINGER_SECONDS) + 1):
        working_set.update(small, float(now))
    grown = [*small, *(host(n, STRONG) for n in range(20, 30))]
    working_set.update(grown, LINGER_SECONDS + 1.0)
    assert {host.name for host in small} < working_set.names
    working_set.update(grown, 2 * LINGER_SECONDS + 1.0)
    assert not {host.name for host in small} & working_set.names


def shedding(hosts: list[HostRecord], names: set[str]) -> list[HostRecord]:
    return [dataclasses.replace(record, sheds=record.name in names) for record in hosts]


@params((7, 0), (62, 8), (91, 8), (195, 18), (370, 18))
def test_host_that_sheds_is_left_out_until_it_has_room(count, strong):
    """Callers who follow the directory would be reset there."""
    hosts = fleet(count, strong, rate=1.4 * count)
    working_set = WorkingSet()
    working_set.update(hosts, 0.0)
    before = working_set.names
    full = set(sorted(before)[:2])
    working_set.update(shedding(hosts, full), 1.5)
    assert not working_set.names & full
    assert len(working_set.names) >= min(MIN_HOSTS, count - 2)
    working_set.update(hosts, 3.0)
    assert working_set.names >= before


@params((1, 1), (7, 4), (7, 7), (91, 46), (91, 91))
def test_hosts_that_shed_are_named_if_more_than_half_of_all_do(count, full):
    """The others would get more than they carry, and shed as well."""
    hosts = fleet(count, min(count, 8), rate=1.4 * count)
    names = {record.name for record in hosts[:full]}
    assert members(shedding(hosts, names)) == shedding(members(hosts), names)


def test_host_that_sheds_does_not_name_itself():
    """Its own directory says what the others say."""
    hosts = fleet(7)
    own = dataclasses.replace(hosts[0], sheds=True)
    answer = directory_at(own, hosts).addresses(own.address)
    assert sorted(answer) == [record.address for record in hosts[1:]]


def test_hosts_of_the_version_before_belong_to_the_fleet():
    """They name no capacity, and the answer is never empty."""
    old = [
        HostRecord(f"old-{n}", f"old-{n}/1", f"old-{n}:80", "", "a", True, 1)
        for n in range(40)
    ]
    assert MIN_HOSTS <= len(members(old)) < 40
    assert len(members([*old, *fleet(40, 6)])) >= MIN_HOSTS


def test_host_outside_the_set_names_itself_only_if_nobody_else_is_left():
    """A host that stands by is there if all others are gone."""
    hosts = fleet(195, 18)
    own = hosts[-1]
    directory = directory_at(own, hosts)
    answer = directory.addresses(own.address)
    assert own.address not in answer
    assert len(answer) <= MAX_ADDRESSES
    directory.store_answered(60.0)
    directory.update_working_set(own, 60.0)
    assert directory.addresses(own.address) == [own.address]


@params((195, 18), (370, 18))
def test_connections_to_endpoints_are_used_again(count, strong):
    """A third of what all hosts of the fleet would open, at 1.4 requests each."""
    hosts = fleet(count, strong, rate=1.4 * count)
    before = connections_opened(hosts, 1.4 * count)
    after = connections_opened(members(hosts), 1.4 * count)
    assert after <= before / 3
