"""A request that waits for its reservation."""

from __future__ import annotations

import dataclasses

from anyio.streams.memory import MemoryObjectSendStream

from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.value.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationWaiter:
    """Wants ``tokens`` and gets a reservation or a refusal through ``reply``."""

    tokens: int
    reply: MemoryObjectSendStream[Reservation | Refusal]
