from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_notices import (
    FIRST_AVOIDANCE_SECONDS,
    MAX_DOUBLINGS,
    EndpointNotices,
)
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.placer import PlacementRequest, Placer


def states(count: int) -> list[EndpointState]:
    return [
        EndpointState(EndpointEntry(f"e{number}", "stock", "10.0.0.1:1", "a", 8))
        for number in range(count)
    ]


def test_longer_back_off_replaces_a_shorter_one():
    """A repeat does not shorten what was asked for."""
    notices = EndpointNotices()
    notices.record_back_off(5.0)
    notices.record_back_off(3.0)
    assert notices.back_off_left(1.0) == 4.0
    assert notices.back_off_left(5.0) == 0.0


def test_refusals_in_a_row_lengthen_the_time_of_avoidance():
    """An answer ends it."""
    notices = EndpointNotices()
    for count in range(12):
        notices.record_refusal(10.0)
        seconds = FIRST_AVOIDANCE_SECONDS * 2 ** min(count, MAX_DOUBLINGS)
        assert notices.is_avoided(10.0 + seconds - 0.01)
        assert not notices.is_avoided(10.0 + seconds + 0.01)
    notices.record_acceptance()
    assert not notices.is_avoided(10.0)


def test_endpoint_that_backs_off_is_no_last_resort():
    """One that has refused without a time is."""
    placer = Placer()
    first, second = states(2)
    first.notices.record_back_off(5.0)
    second.notices.record_refusal(1.0)
    assert placer.choose([first, second], PlacementRequest(), 1.01) is second
    second.notices.record_back_off(4.0)
    assert placer.choose([first, second], PlacementRequest(), 1.01) is None


def test_endpoint_gets_one_request_first_after_its_back_off():
    """The others follow once it has answered."""
    placer = Placer()
    (state,) = states(1)
    other = states(2)[1]
    state.notices.record_refusal(1.0)
    state.notices.record_back_off(3.0)
    assert state.is_usable(8.0)
    state.start_attempt("a/0", 0, 8.0)
    assert not state.is_usable(8.0)
    assert placer.choose([state, other], PlacementRequest(), 8.0) is other
    state.notices.record_acceptance()
    assert state.is_usable(8.0)
