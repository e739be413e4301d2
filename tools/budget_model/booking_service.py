"""The simulated plain service that runs bookings."""

from __future__ import annotations

import collections
import random

import anyio

BOOKING_SECONDS = 0.2


class LostReplyError(Exception):
    """The service ran the request, but its reply was lost."""


class BookingService:
    """Runs each request that arrives, without detecting duplicates."""

    def __init__(self, lost_fraction: float, rng: random.Random) -> None:
        """``lost_fraction`` is the fraction of replies that are lost."""
        self.bookings: collections.Counter[str] = collections.Counter()
        self._lost_fraction = lost_fraction
        self._rng = rng

    async def book(self, key: str) -> bytes:
        """Run a booking; raises LostReplyError when its reply is lost."""
        self.bookings[key] += 1
        await anyio.sleep(BOOKING_SECONDS)
        if self._rng.random() < self._lost_fraction:
            raise LostReplyError(key)
        return self.answer(key)

    @staticmethod
    def answer(key: str) -> bytes:
        """Return the expected answer to a request."""
        return f"booked {key}".encode()
