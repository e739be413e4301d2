"""The time for which an endpoint wants no requests from a host."""

from __future__ import annotations

import dataclasses

MAX_BACK_OFF_SECONDS = 300.0
"""Longest time that is believed; a longer one would outlast most endpoints."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackOff:
    """``seconds`` is None if what the endpoint said is meaningless."""

    seconds: float | None

    @property
    def believed_seconds(self) -> float | None:
        """Return the time to keep to, None if there is no use in it."""
        if self.seconds is None or self.seconds > MAX_BACK_OFF_SECONDS:
            return None
        return self.seconds
