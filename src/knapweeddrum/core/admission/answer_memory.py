"""Remembers which suspects had a whole answer a short time ago."""

from __future__ import annotations

import collections


class AnswerMemory:
    """Times are Unix seconds; the oldest of more than ``most`` is forgotten."""

    def __init__(self, seconds: float, most: int) -> None:
        self._seconds = seconds
        self._most = most
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def remember(self, suspect: str, now: float) -> None:
        """Record a whole answer."""
        self._answered_at[suspect] = now
        self._answered_at.move_to_end(suspect)
        if len(self._answered_at) > self._most:
            self._answered_at.popitem(last=False)

    def knows(self, suspect: str, now: float) -> bool:
        """Return whether a suspect had a whole answer in the time remembered."""
        answered_at = self._answered_at.get(suspect)
        return answered_at is not None and now - answered_at < self._seconds
