from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.membership.drain_plan import (
    DRAIN_PROPAGATION_SECONDS,
    DrainPlan,
)
from knapweeddrum.core.membership.drain_state import DrainState

LIFETIME = 10.0
LIMIT = 120.0
ADVICE_EXPIRED_AT = DRAIN_PROPAGATION_SECONDS + LIFETIME


def test_drain_passes_through_all_states():
    """A drain leaves the advice, serves until it expires, refuses, and then stops."""
    plan = DrainPlan(LIFETIME, LIMIT)
    assert plan.advance(3, 50.0) is DrainState.SERVING
    plan.start(100.0)
    assert (plan.is_advised, plan.accepts_work) == (False, True)
    assert plan.advance(0, 100.0 + ADVICE_EXPIRED_AT - 0.1) is DrainState.LEAVING_ADVICE
    assert plan.advance(2, 100.0 + ADVICE_EXPIRED_AT) is DrainState.REFUSING
    assert not plan.accepts_work
    assert plan.advance(1, 150.0) is DrainState.REFUSING
    assert plan.advance(0, 151.0) is DrainState.STOPPED


def test_drain_ends_at_its_limit():
    """A stream that never ends delays the stop until the limit at most."""
    plan = DrainPlan(LIFETIME, LIMIT)
    plan.start(0.0)
    plan.advance(1, ADVICE_EXPIRED_AT)
    assert plan.advance(1, LIMIT - 0.1) is DrainState.REFUSING
    assert plan.advance(1, LIMIT) is DrainState.STOPPED


def test_cancelled_drain_serves_again():
    """A host whose drain is cancelled is advised again."""
    plan = DrainPlan(LIFETIME, LIMIT)
    plan.start(0.0)
    plan.cancel()
    assert plan.advance(0, 500.0) is DrainState.SERVING
    assert plan.is_advised


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.floats(0.0, 20.0), st.integers(0, 3)), max_size=30))
def test_advised_callers_are_never_refused(steps):
    """New work is accepted while any advice given before the drain is valid."""
    plan = DrainPlan(LIFETIME, LIMIT)
    plan.start(0.0)
    now = 0.0
    for elapsed, streams in steps:
        now += elapsed
        state = plan.advance(streams, now)
        assert plan.accepts_work or now >= LIFETIME
        assert state is not DrainState.STOPPED or streams == 0 or now >= LIMIT
        if state is DrainState.STOPPED:
            break
