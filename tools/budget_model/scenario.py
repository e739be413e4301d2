"""Scenarios and events of the budget model."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from tools.budget_model.fleet import Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change to the fleet, ``at`` seconds after the start of the load."""

    at: float
    apply: Callable[[Fleet], None]

    async def run_when_due(self, fleet: Fleet) -> None:
        """Sleep until the event is due, then apply it."""
        await anyio.sleep(self.at)
        self.apply(fleet)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load for ``seconds`` at ``rate`` requests per second, and events.

    The deposit is ``deposit_ratio`` times the tokens that the load is expected to use.
    """

    name: str
    seconds: float
    rate: float
    deposit_ratio: float
    events: tuple[Event, ...] = ()
