"""Combination of the run states of a request's attempts."""

from __future__ import annotations

from knapweeddrum.value.run_state import RunState

_RISING_PRECEDENCE = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)


def combined_run_state(first: RunState, second: RunState) -> RunState:
    """Return the state of a request with two attempts.

    It has run if either attempt ran, and may have run if either is unknown.
    """
    return max(first, second, key=_RISING_PRECEDENCE.index)
