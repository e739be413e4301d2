"""The outcome of a claimed request."""

from __future__ import annotations

import msgspec


class OutcomeRequest(msgspec.Struct, frozen=True):
    """An outcome to append; the fields are those of the fact RequestClaimOutcome."""

    claim_key: str
    claimant: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
