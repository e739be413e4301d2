"""What became of one call to the store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCall:
    """A call that has ended.

    ``kind`` is ``append``, ``read`` or ``newest``; ``outcome`` the reply's status,
    ``not_sent``, ``no_reply`` or ``era_doubt``, with the error if there is one.
    """

    kind: str
    stream: str
    outcome: str
    error: str
    seconds: float
    received: int
    """Bytes of the answer that came in."""
    on_new_connection: bool
