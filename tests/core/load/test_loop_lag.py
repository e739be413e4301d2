from __future__ import annotations

from knapweeddrum.core.load.loop_lag import BEHIND_SECONDS, LoopLag


def test_process_is_behind_until_its_lag_has_been_small_for_a_while():
    """A single quick turn of the event loop doesn't mean that it has caught up."""
    lag = LoopLag()
    lag.record(0.01, 0.0)
    assert not lag.is_behind
    lag.record(BEHIND_SECONDS, 1.0)
    lag.record(0.0, 1.2)
    assert lag.is_behind
    lag.record(0.0, 2.3)
    assert not lag.is_behind


def test_largest_lag_of_the_last_second_is_known():
    """A larger lag replaces a smaller one, and none outlives its second."""
    lag = LoopLag()
    lag.record(0.2, 0.0)
    lag.record(0.05, 0.5)
    assert lag.recent(0.9) == 0.2
    lag.record(0.3, 0.9)
    assert lag.recent(1.5) == 0.3
    assert lag.recent(2.0) == 0.0
