from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.directory.connection_limit import connection_limit


def limits(rates: list[float], accepted: int) -> list[int]:
    """Return the limits of hosts that get so many requests a second."""
    total = sum(rates)
    return [connection_limit(accepted, 1 / len(rates), rate / total) for rate in rates]


def members_and_others(hosts: int, members: int) -> list[float]:
    return [27.0] * members + [0.2] * (hosts - members)


@params((7, 7, 100), (7, 7, 490), (62, 5, 540), (195, 10, 1200), (195, 195, 1200))
def test_hosts_together_stay_within_what_an_endpoint_accepts(hosts, members, accepted):
    """Hosts with most of the requests and those with few, as all use their part."""
    assert sum(limits(members_and_others(hosts, members), accepted)) <= accepted


@params((62, 5, 540), (195, 10, 1200), (370, 16, 1400))
def test_hosts_that_get_the_requests_may_use_most_of_an_endpoint(
    hosts, members, accepted
):
    """Members of the working set together may use two fifths of what it accepts."""
    rates = members_and_others(hosts, members)
    assert sum(limits(rates, accepted)[:members]) >= 0.4 * accepted


def test_hosts_of_the_design_size_stay_within_what_an_endpoint_accepts():
    """370 hosts of which 16 get most of the requests."""
    assert sum(limits(members_and_others(370, 16), 1400)) <= 1400


@params((62, 5, 540), (195, 10, 1200), (370, 16, 1400))
def test_members_may_use_half_of_an_endpoint(hosts, members, accepted):
    """The members of the working set together may use half of what it accepts."""
    rates = members_and_others(hosts, members)
    assert sum(limits(rates, accepted)[:members]) >= accepted / 2


@params((62, 5, 540), (195, 10, 1200))
def test_host_outside_the_set_that_callers_cling_to_has_connections(
    hosts, members, accepted
):
    """One that gets a tenth of all requests has a twentieth of what it accepts."""
    rates = members_and_others(hosts, members)
    rates[-1] = sum(rates) / 9
    assert limits(rates, accepted)[-1] >= accepted / 20
