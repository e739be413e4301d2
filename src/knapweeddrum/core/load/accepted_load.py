"""What accepted connections are expected to bring in."""

from __future__ import annotations

import math

AVERAGE_SECONDS = 2.0
"""Time constant with which the mean bytes of a connection follow."""

MIN_CONNECTIONS = 10.0
"""Least number of connections by which the received bytes are divided.

With few connections most bytes are of the store and of other hosts.
"""

MAX_BYTES = 16_000
"""Largest number of bytes that is expected of a connection."""

DRAIN_FRACTION = 0.9
"""Part of the link's rate at which the account drains."""

MAX_SECONDS = 0.3


class AcceptedLoad:
    """Leaky bucket of the bytes that accepted connections are expected to bring.

    A connection counts as it is accepted, with the mean of all bytes that were received
    for each connection lately: its request, what endpoints answer, loans, the store.
    So it is known some 0.1 s sooner than by received bytes that too much is coming.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        """Level, in seconds of the link's rate."""
        self._connections = 0.0
        self._bytes = 0.0

    def accept(self, link: float) -> None:
        """Count a connection; ``link`` is in bytes per second."""
        self._connections += 1.0
        mean = self._bytes / max(self._connections, MIN_CONNECTIONS)
        self.seconds = min(MAX_SECONDS, self.seconds + min(mean, MAX_BYTES) / link)

    def drain(self, received: int, elapsed: float) -> None:
        """Follow what was received in a time."""
        decay = math.exp(-elapsed / AVERAGE_SECONDS)
        self._connections *= decay
        self._bytes = self._bytes * decay + received
        self.seconds = max(0.0, self.seconds - DRAIN_FRACTION * elapsed)
