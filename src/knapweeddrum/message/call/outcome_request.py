"""The outcome of a claimed request."""

from __future__ import annotations

import msgspec


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Fields as in the fact ``ClaimOutcome``."""

    claim_key: str
    claimant: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
