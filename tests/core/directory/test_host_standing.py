from __future__ import annotations

from knapweeddrum.core.directory.host_standing import (
    LEASE_SECONDS,
    SETTLE_SECONDS,
    HostStanding,
)

OTHERS = ("b", "c", "d")


def written_until(until: float) -> HostStanding:
    """Return the standing of a host that writes a heartbeat each second."""
    standing = HostStanding()
    at = 0.0
    while at <= until:
        standing.record_written(at)
        at += 1.0
    standing.share(OTHERS, OTHERS, (), until)
    return standing


def test_host_that_writes_heartbeats_gives_all():
    """Nobody needs to be asked."""
    assert written_until(10.0).share(OTHERS, OTHERS, (), 10.5) == 1.0


def test_host_that_has_just_started_gives_nothing_before_others_can_know():
    """Another one still gives in its place."""
    standing = HostStanding()
    standing.record_written(5.0)
    assert standing.share(OTHERS, OTHERS, (), 5.0 + SETTLE_SECONDS - 0.1) == 0.0
    standing.record_written(6.5)
    assert standing.share(OTHERS, OTHERS, (), 5.0 + SETTLE_SECONDS) == 1.0


def test_frozen_host_gives_nothing_when_it_wakes():
    """Others may have taken it for gone meanwhile; its next heartbeat is its first."""
    standing = written_until(10.0)
    woken_at = 10.0 + 2 * LEASE_SECONDS
    assert standing.share(OTHERS, OTHERS, (), woken_at) == 0.0
    standing.record_written(woken_at)
    assert standing.share(OTHERS, OTHERS, (), woken_at + 0.1) == 0.0


def test_host_whose_writes_are_refused_gives_by_contact():
    """Those that it does not reach may have another one in its place."""
    standing = written_until(10.0)
    at = 10.0 + LEASE_SECONDS + 1.0
    assert standing.share(OTHERS, (), OTHERS, at) == 1.0
    assert standing.share(OTHERS, (), ("b", "c"), at) == 0.75
    assert standing.share(("b",), (), ("b",), at) == 0.5


def test_host_gives_nothing_while_one_out_of_contact_writes_heartbeats():
    """That one may have taken over, for all who read the store."""
    standing = written_until(10.0)
    at = 10.0 + LEASE_SECONDS + 1.0
    assert standing.share(OTHERS, ("d",), ("b", "c"), at) == 0.0
    assert standing.share(OTHERS, ("d",), OTHERS, at) == 1.0
