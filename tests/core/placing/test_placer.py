from __future__ import annotations

import random

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_condition import EndpointCondition
from knapweeddrum.core.placing.endpoint_state import (
    ENDED_SECONDS,
    UNRESPONSIVE_AFTER_SECONDS,
    EndpointState,
)
from knapweeddrum.core.placing.load_report import LoadReport
from knapweeddrum.core.placing.placer import PlacementRequest, Placer
from knapweeddrum.core.routing.attempt_result import AttemptResult


def states(count: int) -> list[EndpointState]:
    return [
        EndpointState(EndpointEntry(f"e{number}", "engine", "10.0.0.1:1", "a", 8))
        for number in range(count)
    ]


def chosen_id(fleet, req: PlacementRequest, now: float = 0.0) -> str:
    return Placer().choose(fleet, req, now).entry.endpoint_id


def fail(state: EndpointState, attempt: str, now: float) -> None:
    state.start_attempt(attempt, 0, now)
    state.end_attempt(attempt, 0, AttemptResult.FAILURE, now, now)


def test_only_sessions_of_a_removed_endpoint_move():
    """Removing one of nine endpoints moves about a ninth of the sessions."""
    fleet = states(9)
    sessions = [f"s{number}" for number in range(500)]
    before = {s: chosen_id(fleet, PlacementRequest(session=s)) for s in sessions}
    removed = fleet.pop(3).entry.endpoint_id
    after = {s: chosen_id(fleet, PlacementRequest(session=s)) for s in sessions}
    moved = [s for s in sessions if before[s] != after[s]]
    assert all(before[s] == removed for s in moved)
    assert 20 < len(moved) < 100


def test_sessions_leave_an_overloaded_endpoint():
    """A session's endpoint is passed over while its load is far above the mean."""
    fleet = states(4)
    home = next(
        state
        for state in fleet
        if state.entry.endpoint_id == chosen_id(fleet, PlacementRequest(session="s"))
    )
    home.record_load(LoadReport(running=60, waiting=0, slots=96), 0.0)
    assert chosen_id(fleet, PlacementRequest(session="s")) != home.entry.endpoint_id
    assert (
        chosen_id(fleet, PlacementRequest(session="s"), 10.0) == home.entry.endpoint_id
    )


def test_unresponsive_and_failing_endpoints_are_avoided_then_retried():
    """An endpoint that sends no data, or fails repeatedly, gets no new request."""
    unresponsive, failing, healthy = states(3)
    unresponsive.start_attempt("a", 0, 0.0)
    now = UNRESPONSIVE_AFTER_SECONDS + 0.1
    for number in range(3):
        fail(failing, f"f{number}", now)
    fleet = [unresponsive, failing, healthy]
    picks = {
        chosen_id(fleet, PlacementRequest(session=f"s{n}"), now) for n in range(50)
    }
    assert picks == {healthy.entry.endpoint_id}
    unresponsive.record_data(now)
    later = now + 1.5
    picks = {
        chosen_id(fleet, PlacementRequest(session=f"s{n}"), later) for n in range(50)
    }
    assert failing.entry.endpoint_id in picks
    cautious = PlacementRequest(session="s", may_probe=False)
    assert chosen_id(fleet, cautious, later) != failing.entry.endpoint_id


def test_copy_of_a_suspect_is_not_sent_where_an_endpoint_has_just_crashed():
    """It would only be told that another start has the address."""
    crashed, other = states(2)
    crashed.record_end(0.0)
    req = PlacementRequest(data_centre="a")
    for now in (0.1, 1.1, ENDED_SECONDS - 0.1):
        assert chosen_id([crashed, other], req, now) == other.entry.endpoint_id
    assert crashed.condition(1.1) is EndpointCondition.ENDED
    crashed.record_data(1.2)
    assert chosen_id([crashed, other], req, 1.3) == crashed.entry.endpoint_id


def test_ejected_endpoint_is_chosen_if_no_other_is_left():
    """If all endpoints fail, one is still chosen; without endpoints, none is."""
    fleet = states(3)
    for state in fleet:
        for number in range(5):
            fail(state, f"f{number}", 0.0)
    assert Placer().choose(fleet, PlacementRequest(session="s"), 0.1) is not None
    assert Placer().choose([], PlacementRequest(), 0.1) is None


def test_calls_without_a_session_spread_by_load():
    """A burst of short calls is spread over endpoints of one data centre."""
    fleet = states(4)
    rng = random.Random(3)
    for number in range(40):
        req = PlacementRequest(data_centre="a")
        state = Placer().choose(fleet, req, number / 100)
        state.start_attempt(f"r{number}", 0, number / 100)
        if rng.random() < 0.3:
            state.record_data(number / 100)
    assert max(state.in_flight for state in fleet) <= 11


def test_idle_connection_is_preferred_among_idle_endpoints():
    """A call goes where a connection is open, unless that endpoint is busy."""
    fleet = states(3)
    req = PlacementRequest(data_centre="a", connected=frozenset({"e2"}))
    assert chosen_id(fleet, req) == "e2"
    for number in range(2):
        fleet[2].start_attempt(f"r{number}", 0, 0.0)
    assert chosen_id(fleet, req) != "e2"
