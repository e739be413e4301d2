"""The history of a value, for reports that lag behind it."""

from __future__ import annotations

import collections
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")

MAX_VALUES = 10_000


class TimedValues(Generic[ValueT]):
    """Values with the times from which they were valid."""

    def __init__(self, initial: ValueT) -> None:
        self._values = collections.deque([(0.0, initial)], maxlen=MAX_VALUES)

    @property
    def latest(self) -> ValueT:
        """Return the newest value."""
        return self._values[-1][1]

    def add(self, now: float, value: ValueT) -> None:
        """Add the value that is valid from ``now`` on."""
        self._values.append((now, value))

    def at(self, when: float) -> ValueT:
        """Return the value that was valid at ``when``, or the oldest one kept."""
        for since, value in reversed(self._values):
            if since <= when:
                return value
        return self._values[0][1]
