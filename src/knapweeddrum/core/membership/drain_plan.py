"""Drain of a host: its planned stop."""

from __future__ import annotations

from knapweeddrum.core.membership.drain_state import DrainState

DRAIN_PROPAGATION_SECONDS = 10.0
"""Time until other hosts know of the drain and no longer advise the host."""


class DrainPlan:
    """State machine of a drain.

    The host is first left out of the entry advice and continues to serve until the last
    advice that named it has expired. Then it refuses new work, and stops when its last
    stream has ended, or ``limit`` seconds after the start of the drain. Times are
    monotonic seconds.
    """

    def __init__(self, advice_lifetime: float, limit: float) -> None:
        self._advice_valid_seconds = DRAIN_PROPAGATION_SECONDS + advice_lifetime
        self._limit = limit
        self._started_at: float | None = None
        self.state = DrainState.SERVING

    @property
    def is_advised(self) -> bool:
        """Return whether the entry advice may name this host."""
        return self.state is DrainState.SERVING

    @property
    def accepts_work(self) -> bool:
        """Return whether new requests are taken."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING_ADVICE)

    def start(self, now: float) -> None:
        """Begin the drain, unless it has begun already."""
        if self.state is DrainState.SERVING:
            self._started_at = now
            self.state = DrainState.LEAVING_ADVICE

    def cancel(self) -> None:
        """Cancel the drain and serve again, unless the process has stopped."""
        if self.state is not DrainState.STOPPED:
            self._started_at = None
            self.state = DrainState.SERVING

    def advance(self, open_streams: int, now: float) -> DrainState:
        """Move to the state that the time and the open streams allow, and return it."""
        if self._started_at is None:
            return self.state
        elapsed = now - self._started_at
        if (
            self.state is DrainState.LEAVING_ADVICE
            and elapsed >= self._advice_valid_seconds
        ):
            self.state = DrainState.REFUSING
        if self.state is DrainState.REFUSING and self._may_stop(open_streams, elapsed):
            self.state = DrainState.STOPPED
        return self.state

    def _may_stop(self, open_streams: int, elapsed: float) -> bool:
        return open_streams == 0 or elapsed >= self._limit
