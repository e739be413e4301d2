"""States of an engine order."""

from __future__ import annotations

import enum


class OrderState(enum.StrEnum):
    """How far an engine order has come."""

    REQUESTED = "requested"
    ISSUING = "issuing"
    """One control process has claimed it; the engine may have got it."""
    DONE = "done"
    REFUSED = "refused"
    """The engine refused its fencing number: a newer order was there first."""
