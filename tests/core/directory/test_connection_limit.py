from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.directory.connection_limit import connection_limit


@params((7, 7, 100), (7, 7, 490), (62, 5, 540), (195, 10, 1200), (370, 16, 1400))
def test_hosts_together_stay_within_what_an_endpoint_accepts(hosts, members, accepted):
    """Members and hosts that stand by, as all of them use their part."""
    member = connection_limit(accepted, 1 / hosts, 1 / members)
    standby = connection_limit(accepted, 1 / hosts, 0.0)
    assert members * member + (hosts - members) * standby <= accepted


@params((62, 5, 540), (195, 10, 1200), (370, 16, 1400))
def test_member_of_a_large_fleet_may_use_most_of_an_endpoint(hosts, members, accepted):
    """The members together may use half of what it accepts."""
    assert members * connection_limit(accepted, 1 / hosts, 1 / members) >= accepted / 2
