"""Delays between repeated calls."""

from __future__ import annotations

import random


class Backoff:
    """Exponential delays with jitter, in seconds, up to ``longest``."""

    def __init__(self, rng: random.Random, first: float, longest: float) -> None:
        self._rng = rng
        self._first = first
        self._longest = longest
        self._next = first

    def reset(self) -> None:
        """Start again with the first delay."""
        self._next = self._first

    def delay(self) -> float:
        """Return the seconds to wait before the next call."""
        ceiling = self._next
        self._next = min(self._longest, self._next * 2)
        return ceiling * self._rng.uniform(0.5, 1.0)
