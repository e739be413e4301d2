"""Joining what several attempts say about a request's execution."""

from __future__ import annotations

from knapweeddrum.value.run_state import RunState

_ORDER = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)


def more_certain(one: RunState, other: RunState) -> RunState:
    """Return the state of a request that had both attempts: ran, if any ran."""
    return max(one, other, key=_ORDER.index)
