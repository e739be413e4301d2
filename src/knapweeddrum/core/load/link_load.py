"""How full the incoming direction of a host's link is."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from knapweeddrum.core.load.accepted_load import AcceptedLoad
from knapweeddrum.core.load.round_trips import RoundTrips
from knapweeddrum.value.link_source import LinkSource

BYTES_PER_MEGABIT = 125_000

DEFAULT_LINK_MBPS = 1000.0

WIRE_BYTES_PER_BYTE = 1.08
"""Bytes on the link for each received byte, with the heads of its packets."""

DRAIN_FRACTION = 0.9
"""Part of the link's rate at which the account drains.

A link that carries more for long has a queue, so what comes in waits.
"""

SHED_SECONDS = 0.06
"""Level above which connections are turned away; a full link gets there in 0.6 s."""

RESUME_SECONDS = 0.01
"""Level below which connections are taken again."""

EXPECTED_SHED_SECONDS = 0.08
"""What accepted connections may be expected to bring, in seconds of the link.

Above it others are turned away if the link is in use.
"""

EXPECTED_RESUME_SECONDS = 0.05
"""What they may be expected to bring for others to be taken again."""

FULL_FRACTION = 0.8
"""Part of the link in use from which what is expected counts."""

USE_SECONDS = 0.15
"""Time constant with which that part follows."""

MAX_LEVEL_SECONDS = 0.2
"""Largest level, so that a host recovers soon after the load has ended."""

MAX_CLOSED_SECONDS = 0.25
"""Longest time for which connections are turned away at a stretch.

The level may stay high, as it counts what comes in on open connections too. A host
that takes no connection for its stable window counts as faulty.
"""

MIN_OPEN_SECONDS = 0.03
"""Shortest time for which they are taken after that, or until enough have come."""

MIN_ACCEPTED = 3
"""Number of connections that is enough."""

MIN_DUE_SECONDS = 0.01
"""Least number of received bytes between two looks, in seconds of the link."""

QUIET_SECONDS = 2.0
"""Time without a closing after which a host no longer counts as shedding."""

RATE_SECONDS = 1.0
"""Time constant with which the rate of received bytes follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class SheddingReport:
    """What an operator is told of a time of shedding that has begun or ended."""

    bytes_per_second: float
    bound: float
    """Bytes per second above which the account rises."""
    closings: int
    seconds: float


class LinkLoad:
    """Leaky buckets of bytes that tell whether to take new connections.

    One is of received bytes; it alone counts what open connections bring. The other is
    of what new connections are expected to bring, and counts while the link is in use.
    Bytes that don't reach the process show by late round trips only.
    Levels are in seconds of the link's full rate. ``now`` is in monotonic seconds.
    Bytes are set against the whole time since the last update, as a process that was
    paused receives at once what came in meanwhile. ``on_due`` is called when what was
    counted may have taken a level above its bound.
    """

    def __init__(self, link_mbps: float = DEFAULT_LINK_MBPS) -> None:
        self.on_due: Callable[[], None] = lambda: None
        self.is_closed = False
        """Whether new connections are to be turned away."""
        self.closings = 0
        """Times that connections began to be turned away."""
        self.shedding_since: float | None = None
        """Time from which the host counts as shedding, None while it doesn't."""
        self._level = 0.0
        self._accepted = AcceptedLoad()
        self._trips = RoundTrips()
        self._use = 0.0
        self._pending = 0
        self._updated_at = 0.0
        self._changed_at = float("-inf")
        self._accepted_since = 0
        self._full_at = float("-inf")
        self._rate = 0.0
        self._closings_before = 0
        self._due_bytes = 0.0
        self.set_link(link_mbps)

    def set_link(self, link_mbps: float) -> None:
        """Follow the rate of the link, in megabits per second."""
        self._link = link_mbps * BYTES_PER_MEGABIT / WIRE_BYTES_PER_BYTE
        self._set_due_bytes()

    @property
    def bound(self) -> float:
        """Received bytes per second above which the level rises."""
        return self._link * DRAIN_FRACTION

    @property
    def sheds(self) -> bool:
        """Return whether connections are turned away, or were a short time ago."""
        return self.shedding_since is not None

    def receive(self, count: int) -> None:
        """Count bytes that the process has received."""
        self._pending += count
        if self._pending >= self._due_bytes:
            self.on_due()

    def accept(self) -> None:
        """Count a connection of a caller that was accepted."""
        self._accepted.accept(self._link)
        self._accepted_since += 1
        if self._accepted.seconds > EXPECTED_SHED_SECONDS:
            self.on_due()

    def is_late(self, now: float) -> bool:
        """Return whether all that this host asks is answered late, by its own link."""
        return self._trips.are_late(now)

    def record_trip(
        self, source: LinkSource, seconds: float, now: float, *, is_answered: bool
    ) -> None:
        """Record a round trip that ended now, with or without an answer."""
        self._trips.record(source, seconds, now, is_answered=is_answered)
        if not self.is_closed and self._trips.are_late(now):
            self.on_due()

    def record_work(self, seconds: float, now: float) -> None:
        """Record the time until an answer began that an endpoint worked for."""
        self._trips.record_work(seconds, now)

    def update(self, now: float) -> None:
        """Drain the account and decide whether to take new connections."""
        self._drain(now)
        is_late = self._trips.are_late(now)
        if self.is_closed or is_late or self._level > SHED_SECONDS:
            self._full_at = now
        if self.is_closed:
            has_room = self._has_room() and not is_late
            if has_room or now - self._changed_at >= MAX_CLOSED_SECONDS:
                self.is_closed = False
                self._changed_at = now
                self._accepted_since = 0
        elif (is_late or self._is_full()) and self._may_close(now):
            self.is_closed = True
            self._changed_at = now
            self.closings += 1
            if self.shedding_since is None:
                self.shedding_since = now
                self._closings_before = self.closings - 1
        elif self.shedding_since is not None and self._is_quiet(now):
            self.shedding_since = None
        self._set_due_bytes()

    def was_full_since(self, since: float) -> bool:
        """Return whether the link was too full for new connections since a time."""
        return self._full_at >= since

    def level(self, now: float) -> float:
        """Return the seconds of the link's rate by which this host is behind."""
        self._drain(now)
        self._set_due_bytes()
        return self._level

    def use(self, now: float) -> float:
        """Return the part of the link that received bytes took lately, from 0."""
        self._drain(now)
        self._set_due_bytes()
        return self._rate / self._link

    def report(self, since: float, now: float) -> SheddingReport:
        """Return what is told of a time of shedding that began at ``since``."""
        self._drain(now)
        closings = self.closings - self._closings_before
        return SheddingReport(self._rate, self.bound, closings, now - since)

    def _is_full(self) -> bool:
        is_used = self._use > FULL_FRACTION * self._link
        expected = self._accepted.seconds
        return self._level > SHED_SECONDS or (
            is_used and expected > EXPECTED_SHED_SECONDS
        )

    def _has_room(self) -> bool:
        expected = self._accepted.seconds
        return self._level < RESUME_SECONDS and expected < EXPECTED_RESUME_SECONDS

    def _may_close(self, now: float) -> bool:
        is_over = now - self._changed_at >= MIN_OPEN_SECONDS
        return is_over or self._accepted_since >= MIN_ACCEPTED

    def _is_quiet(self, now: float) -> bool:
        return now - self._changed_at >= QUIET_SECONDS

    def _drain(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        received = self._pending
        self._pending = 0
        self._updated_at = now
        level = self._level + received / self._link - DRAIN_FRACTION * elapsed
        self._level = min(MAX_LEVEL_SECONDS, max(0.0, level))
        self._accepted.drain(received, elapsed)
        per_second = received / elapsed
        self._rate += (per_second - self._rate) * _step(elapsed, RATE_SECONDS)
        self._use += (per_second - self._use) * _step(elapsed, USE_SECONDS)

    def _set_due_bytes(self) -> None:
        self._due_bytes = max(MIN_DUE_SECONDS, SHED_SECONDS - self._level) * self._link


def _step(elapsed: float, time_constant: float) -> float:
    return 1.0 - math.exp(-elapsed / time_constant)
