"""A scenario of the budget model."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from tools.budget_model.fleet import Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that happens ``at`` a time (s) after the start of the load."""

    at: float
    apply: Callable[[Fleet], None]

    async def happen(self, fleet: Fleet) -> None:
        """Wait until the time has come and apply the event."""
        await anyio.sleep(self.at)
        self.apply(fleet)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load for ``seconds`` at ``rate`` requests per second, and events.

    The budget is ``deposit_share`` of what the load is expected to use.
    """

    name: str
    seconds: float
    rate: float
    deposit_share: float
    events: tuple[Event, ...] = ()
