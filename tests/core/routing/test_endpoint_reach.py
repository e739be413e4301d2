from __future__ import annotations

from knapweeddrum.core.routing.endpoint_reach import (
    ASK_INTERVAL_SECONDS,
    CONNECT_SECONDS,
    EndpointReach,
)
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.probe_result import ProbeResult

A, B, C = (EndpointName(f"{name}/10.0.0.1:1/0") for name in "abc")
UNANSWERED = ProbeResult.UNANSWERED
REFUSED = ProbeResult.REFUSED
CONNECTED = ProbeResult.CONNECTED


def lose(reach: EndpointReach, *names: EndpointName, now: float) -> None:
    """Let connections fail here that another host opens."""
    for name in names:
        reach.record(name, UNANSWERED, now)
        reach.record_elsewhere(name, now)


def test_endpoint_that_no_host_reaches_is_no_lost_path():
    """All hosts fail alike when an endpoint is gone."""
    reach = EndpointReach()
    assert reach.record(A, REFUSED, 1.0)
    assert not reach.record(A, REFUSED, 2.0)
    assert (reach.unreached(), reach.lost_paths()) == ([A], [])
    assert not reach.is_path_lost(A)
    assert reach.unreached_for(A, 3.0) == 2.0


def test_endpoint_that_another_host_reaches_is_a_lost_path():
    """That holds for this endpoint alone while others are in reach."""
    reach = EndpointReach()
    reach.record(A, UNANSWERED, 1.0)
    assert reach.record_elsewhere(A, 1.1)
    assert not reach.record_elsewhere(A, 1.2)
    assert reach.is_path_lost(A)
    assert not reach.is_path_lost(B)


def test_others_are_asked_once_for_each_failure():
    """Questions about an endpoint that is gone follow the connections tried to it."""
    reach = EndpointReach()
    reach.record(A, REFUSED, 1.0)
    assert reach.to_ask(1.0) == [A]
    assert reach.to_ask(1.0 + ASK_INTERVAL_SECONDS) == []
    reach.record(A, REFUSED, 1.5)
    assert reach.to_ask(1.6) == []
    assert reach.to_ask(1.0 + ASK_INTERVAL_SECONDS) == [A]


def test_host_without_any_path_is_cut_off_and_goes_other_ways_at_once():
    """Endpoints that were not tried since are taken to be out of reach too."""
    reach = EndpointReach()
    reach.record(C, CONNECTED, 0.5)
    lose(reach, A, now=1.0)
    assert not reach.is_cut_off
    lose(reach, B, now=1.1)
    assert reach.is_cut_off
    assert reach.is_path_lost(C)


def test_host_that_lost_one_service_is_not_cut_off():
    """An endpoint of another service was reached since."""
    reach = EndpointReach()
    lose(reach, A, B, now=1.0)
    reach.record(C, CONNECTED, 1.5)
    assert not reach.is_cut_off
    assert reach.is_path_lost(A)
    assert not reach.is_path_lost(C)


def test_host_that_loses_the_rest_of_its_paths_later_is_cut_off():
    """Paths that were lost before another endpoint was reached don't count."""
    reach = EndpointReach()
    lose(reach, A, now=1.0)
    reach.record(B, CONNECTED, 1.5)
    lose(reach, B, now=2.0)
    assert not reach.is_cut_off
    lose(reach, C, now=2.1)
    assert reach.is_cut_off


def test_path_that_is_back_for_a_moment_stays_lost():
    """Two connections in a row restore it."""
    reach = EndpointReach()
    lose(reach, A, now=1.0)
    reach.record(A, CONNECTED, 2.0)
    reach.record(A, UNANSWERED, 2.5)
    reach.record(A, CONNECTED, 3.0)
    assert reach.is_path_lost(A)
    assert reach.record(A, CONNECTED, 3.5)
    assert not reach.is_path_lost(A)
    assert reach.unreached() == []


def test_endpoint_that_was_silent_for_a_moment_leaves_no_silent_path():
    """Only a connection that was tried after the others' answer shows one."""
    reach = EndpointReach()
    lose(reach, A, now=1.0)
    assert not reach.is_silent(A)
    reach.record(A, UNANSWERED, 1.1)
    assert not reach.is_silent(A)
    reach.record(A, UNANSWERED, 1.0 + CONNECT_SECONDS)
    assert reach.is_silent(A)
    reach.record(A, REFUSED, 2.0)
    assert not reach.is_silent(A)


def test_failure_answers_others_for_a_moment_only():
    """A host that asks is told without another connection."""
    reach = EndpointReach()
    assert reach.recent_failure(A, 1.0, 1.0) is None
    reach.record(A, REFUSED, 1.0)
    assert reach.recent_failure(A, 1.0, 1.9) is REFUSED
    assert reach.recent_failure(A, 1.0, 2.1) is None


def test_endpoints_that_are_not_listed_any_more_are_forgotten():
    """A cut is not kept up by endpoints that are gone."""
    reach = EndpointReach()
    lose(reach, A, B, now=1.0)
    reach.keep([B])
    assert reach.lost_paths() == [B]
    assert not reach.is_cut_off


def test_times_long_after_do_no_harm():
    """Nothing grows with the time that passes."""
    reach = EndpointReach()
    lose(reach, A, B, now=1.0)
    month = 31 * 86_400.0
    assert reach.is_cut_off
    assert reach.unreached_for(A, month) == month - 1.0
    reach.record(A, UNANSWERED, month)
    assert reach.is_silent(A)
