"""The verdict on a deposit."""

from __future__ import annotations

import msgspec


class TopUpReply(msgspec.Struct, frozen=True):
    """``accepted`` once read back; ``repeated`` when the identifier was known."""

    accepted: bool
    repeated: bool = False
    balance: int = 0
    retry_after: float = 0.0
