from __future__ import annotations

from knapweeddrum.core.prepaid.token_owners import OWNER_GROUPS, TokenOwners
from knapweeddrum.value.host_record import HostRecord

ORGANISATIONS = tuple(f"organisation-{number}" for number in range(400))


def records(count: int) -> list[HostRecord]:
    return [
        HostRecord(f"host-{n}", f"host-{n}/entry/1", "", f"10.0.0.{n}:1", "", True, 0)
        for n in range(count)
    ]


def view(own: HostRecord, hosts: list[HostRecord]) -> TokenOwners:
    """Return the ranking of a host that knows ``hosts``."""
    owners = TokenOwners(own.name)
    owners.set_hosts(host for host in hosts if host.name != own.name)
    return owners


def owner(own: HostRecord, hosts: list[HostRecord], organisation: str) -> str:
    before = view(own, hosts).before_self(organisation)
    return before[0].name if before else own.name


def owners_of_all(hosts: list[HostRecord]) -> dict[str, str]:
    """Return the owner of each organisation, as the first host sees it."""
    ranking = view(hosts[0], hosts)
    return {
        organisation: before[0].name if before else hosts[0].name
        for organisation in ORGANISATIONS
        for before in [ranking.before_self(organisation)]
    }


def test_hosts_that_know_the_same_hosts_agree_on_the_owner():
    """That holds whatever the order in which they know them."""
    hosts = records(7)
    for organisation in ORGANISATIONS[:40]:
        owners = {owner(own, hosts, organisation) for own in hosts}
        owners |= {owner(own, hosts[::-1], organisation) for own in hosts}
        assert len(owners) == 1


def test_each_host_ranks_the_same_hosts_before_itself():
    """Each host has all better ranked hosts before it, in the order all agree on."""
    hosts = records(7)
    for organisation in ORGANISATIONS[:40]:
        before = [
            [host.name for host in view(own, hosts).before_self(organisation)]
            for own in hosts
        ]
        ranking = max(before, key=len)
        assert sorted(len(names) for names in before) == list(range(7))
        assert all(names == ranking[: len(names)] for names in before)


def test_host_that_leaves_moves_only_its_organisations():
    """They go to the host that ranked next; no other organisation moves."""
    hosts = records(20)
    before = owners_of_all(hosts)
    leaving = next(name for name in before.values() if name != hosts[0].name)
    after = owners_of_all([host for host in hosts if host.name != leaving])
    for organisation in ORGANISATIONS:
        if before[organisation] != leaving:
            assert after[organisation] == before[organisation]
    ranking = view(hosts[0], hosts)
    for organisation in (name for name in ORGANISATIONS if before[name] == leaving):
        others = [host.name for host in ranking.others(organisation)]
        assert after[organisation] in (hosts[0].name, others[others.index(leaving) + 1])


def test_host_that_joins_takes_only_what_it_owns():
    """An organisation stays with its owner or goes to the host that joins."""
    hosts = records(21)
    before, after = owners_of_all(hosts[:-1]), owners_of_all(hosts)
    moved = {after[name] for name in ORGANISATIONS if after[name] != before[name]}
    assert moved <= {hosts[-1].name}


def test_groups_bound_the_number_of_owners():
    """The hosts that claim don't grow in number with the hosts or organisations."""
    for count in (7, 62, 370):
        assert 1 < len(set(owners_of_all(records(count)).values())) <= OWNER_GROUPS


def test_restart_under_the_same_name_keeps_the_ranking():
    """The rank is of the name; the record of the new incarnation replaces the old."""
    hosts = records(7)
    ranking = view(hosts[0], hosts)
    names = [host.name for host in ranking.others("organisation-0")]
    restarted = [
        HostRecord(h.name, f"{h.name}/entry/2", "", h.peer_address, "", True, 0)
        for h in hosts[1:]
    ]
    ranking.set_hosts(restarted)
    others = ranking.others("organisation-0")
    assert [host.name for host in others] == names
    assert all(host.incarnation.endswith("/2") for host in others)


def test_lone_host_is_the_owner():
    """Without other hosts, as while none is known yet, a host claims for itself."""
    alone = TokenOwners("host-0")
    assert alone.before_self("organisation-0") == ()
    assert alone.others("organisation-0") == ()
