"""Longest recent answer durations by route."""

from __future__ import annotations

DECAY_PER_ANSWER = 0.99
"""Factor applied to the longest duration at each shorter answer."""


class AnswerDurations:
    """The longest recent answer of each route, in seconds."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record an answer that was passed on completely."""
        self._longest[route] = max(
            seconds, self._longest.get(route, 0.0) * DECAY_PER_ANSWER
        )

    def longest(self, route: str, default: float) -> float:
        """Return how long an answer may take; ``default`` if none was recorded."""
        return self._longest.get(route, default)
