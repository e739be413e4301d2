"""What became of one call to the store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """A call that has ended.

    ``kind`` is ``append``, ``read`` or ``newest``; ``outcome`` the reply's status or
    ``not_sent``, ``no_reply``, ``era_doubt``, ``cut``. ``error`` is empty without one.
    """

    kind: str
    stream: str
    outcome: str
    error: str
    seconds: float
    first_seconds: float | None
    """Time until the answer began, None if none did or the store was to wait."""
    received: int
    """Bytes of the answer that came in."""
    on_new_connection: bool
    asked_twice: bool
    """Whether it was asked once more on a new connection."""
