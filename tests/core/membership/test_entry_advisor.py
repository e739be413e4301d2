from __future__ import annotations

from collections import Counter

import msgspec

from knapweeddrum.core.membership.entry_advisor import MAX_ADVISED_HOSTS, EntryAdvisor
from tests.core.membership.fixtures import new_heartbeat, new_table

DATA_CENTRES = {
    "h1": "xela-norte",
    "h2": "xela-norte",
    "h3": "xela-norte",
    "h4": "totonicapan",
    "h5": "totonicapan",
}


def _hosts():
    table = new_table("h1")
    table.merge(
        [
            new_heartbeat(host, data_centre=place)
            for host, place in DATA_CENTRES.items()
            if host != "h1"
        ],
        0.0,
    )
    return table.hosts(0.0)


def _names(advice):
    return [host.host for host in advice.hosts]


def test_hosts_of_the_data_centre_come_first():
    """An advice has at most MAX_ADVISED_HOSTS, the last from another data centre."""
    advice = EntryAdvisor(10.0).advise(_hosts(), "clerk", "xela-norte")
    places = [DATA_CENTRES[name] for name in _names(advice)]
    assert places == ["xela-norte"] * 3 + ["totonicapan"]
    assert (len(places), advice.lifetime) == (MAX_ADVISED_HOSTS, 10.0)


def test_callers_spread_over_the_near_hosts():
    """Callers are spread evenly over the hosts of their data centre."""
    advisor = EntryAdvisor(10.0)
    firsts = Counter(
        _names(advisor.advise(_hosts(), f"caller {number}", "xela-norte"))[0]
        for number in range(900)
    )
    assert set(firsts) == {"h1", "h2", "h3"}
    assert min(firsts.values()) > 240


def test_draining_failed_and_excluded_hosts_are_not_advised():
    """Hosts that would not accept a request are not advised."""
    hosts = list(_hosts())
    hosts[1] = msgspec.structs.replace(hosts[1], draining=True)
    hosts[2] = msgspec.structs.replace(hosts[2], alive=False)
    advice = EntryAdvisor(10.0).advise(hosts, "clerk", "xela-norte", exclude="h1")
    assert sorted(_names(advice)) == ["h4", "h5"]


def test_removed_host_moves_only_its_callers():
    """When a host is removed, other callers keep their first host."""
    advisor = EntryAdvisor(10.0)
    before = _hosts()
    after = [host for host in before if host.host != "h2"]
    for number in range(100):
        old = _names(advisor.advise(before, f"caller {number}", "xela-norte"))
        new = _names(advisor.advise(after, f"caller {number}", "xela-norte"))
        if old[0] != "h2":
            assert new[0] == old[0]
