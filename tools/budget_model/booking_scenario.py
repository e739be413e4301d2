"""Scenarios with non-idempotent requests (bookings)."""

from __future__ import annotations

import dataclasses

from tools.budget_model.scenario import Event


@dataclasses.dataclass(frozen=True, slots=True)
class BookingScenario:
    """Bookings for ``seconds``; each is sent to ``copies`` routers at once.

    ``lost_fraction`` is the fraction of the service's replies that are lost;
    ``killed_before_fraction`` and ``killed_after_fraction`` are those of the attempts
    whose router is killed right before or right after the dispatch.
    """

    name: str
    seconds: float = 120.0
    copies: int = 1
    lost_fraction: float = 0.0
    killed_before_fraction: float = 0.0
    killed_after_fraction: float = 0.0
    events: tuple[Event, ...] = ()


BOOKING_SCENARIOS = (
    BookingScenario("booking_copies", copies=3),
    BookingScenario("booking_lost_reply", lost_fraction=0.2),
    BookingScenario("booking_killed_before_dispatch", killed_before_fraction=0.05),
    BookingScenario("booking_killed_after_dispatch", killed_after_fraction=0.05),
    BookingScenario(
        "booking_log_down",
        copies=2,
        events=(
            Event(30.0, lambda fleet: fleet.set_log_down(True)),
            Event(90.0, lambda fleet: fleet.set_log_down(False)),
        ),
    ),
)
