from __future__ import annotations

from nose2.tools import params

from knapweeddrum.telemetry.counters import SIGHTING_ASKED
from tests.process.entry.limit_day import LimitDay, LimitPlan, Trouble, TroubleKind

TROUBLE_AT = 6.0
DAY_SECONDS = 26.0
START_SECONDS = 8.0
ORGANISATION = "mill"


def play(kind: TroubleKind, hosts: int, troubled: tuple[int, ...]) -> LimitDay:
    trouble = Trouble(kind, TROUBLE_AT, 2 * DAY_SECONDS, troubled)
    plan = LimitPlan(hosts, 1.0, 9.0, seconds=DAY_SECONDS, troubles=(trouble,))
    return LimitDay(plan, 0).play()


@params(3, 7, 24)
def test_hosts_that_cannot_write_heartbeats_count_everywhere(hosts: int):
    """For shares of retries and connections, owners, failed holders, the directory."""
    for troubled in ((), tuple(range(0, hosts, 2))):
        day = play(TroubleKind.WRITES_REFUSED, hosts, troubled)
        owners = set()
        for host in day.hosts:
            ctx = host.ctx
            assert ctx.hosts.running_count() == hosts
            assert ctx.fleet_size.count(DAY_SECONDS) == hosts
            assert len(ctx.hosts.ready_hosts()) == hosts - 1
            assert not any(ctx.hosts.is_gone(f"host-{n}/1") for n in range(hosts))
            assert len(ctx.hosts.working_set.names) >= min(hosts, 5)
            if not ctx.token_owners_before(ORGANISATION):
                owners.add(host.number)
        assert len(owners) == 1
        sets = {host.ctx.hosts.working_set.names for host in day.hosts}
        assert len(sets) == 1


def test_host_that_ends_while_writes_are_refused_is_left_out():
    """Its silence tells, as it answers nobody either."""
    troubles = (
        Trouble(TroubleKind.WRITES_REFUSED, TROUBLE_AT, 2 * DAY_SECONDS),
        Trouble(TroubleKind.KILL, TROUBLE_AT + 3.0, 2 * DAY_SECONDS, (2,)),
    )
    plan = LimitPlan(7, 1.0, 9.0, seconds=DAY_SECONDS, troubles=troubles)
    day = LimitDay(plan, 0).play()
    for host in day.hosts:
        if host.is_running:
            assert host.ctx.hosts.running_count() == 6
            assert host.ctx.hosts.is_gone("host-2/1")


def test_hosts_that_start_on_a_calm_day_do_not_ask_each_other():
    """One that knew of some before the rest would take too large a share.

    A host whose heartbeat just missed a read may be asked once.
    """
    day = LimitDay(LimitPlan(7, 1.0, 9.0, seconds=START_SECONDS), 0).play()
    asked = sum(host.ctx.metrics.counts[SIGHTING_ASKED] for host in day.hosts)
    assert asked <= len(day.hosts), asked
