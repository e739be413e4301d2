"""How far a process is behind."""

from __future__ import annotations

BEHIND_SECONDS = 0.1
"""Lag from which a process counts as behind."""

CAUGHT_UP_SECONDS = 0.03
"""Lag below which a process that was behind has caught up."""

MEMORY_SECONDS = 1.0
"""Time for which the largest lag is remembered."""


class LoopLag:
    """Tracks how late the event loop runs what is due.

    A process whose processor time is used up handles events late, whatever they are.
    ``now`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self._largest = 0.0
        self._measured_at = float("-inf")
        self._due_at = float("inf")
        self.is_behind = False

    def expect(self, due_at: float) -> None:
        """Record when the event loop is due to be measured next."""
        self._due_at = due_at

    def record(self, lag: float, now: float) -> None:
        """Record how many seconds late the event loop was."""
        if lag >= self._largest or now - self._measured_at > MEMORY_SECONDS:
            self._largest = max(0.0, lag)
            self._measured_at = now
        if lag >= BEHIND_SECONDS:
            self.is_behind = True
        elif self.recent(now) <= CAUGHT_UP_SECONDS:
            self.is_behind = False

    def recent(self, now: float) -> float:
        """Return the largest lag in seconds that was measured a short time ago."""
        return self._largest if now - self._measured_at <= MEMORY_SECONDS else 0.0

    def current(self, now: float) -> float:
        """Return the lag in seconds, also if it has not been measured yet."""
        return max(self.recent(now), now - self._due_at)
