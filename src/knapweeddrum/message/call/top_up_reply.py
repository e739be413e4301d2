"""The verdict on a deposit."""

from __future__ import annotations

import msgspec


class TopUpReply(msgspec.Struct, frozen=True):
    """``accepted`` is true once the deposit has been read back from the log.

    ``repeated`` is true if its identifier was known, so that nothing was added.
    ``balance`` is in tokens, ``retry_after`` in seconds.
    """

    accepted: bool
    repeated: bool = False
    balance: int = 0
    retry_after: float = 0.0
