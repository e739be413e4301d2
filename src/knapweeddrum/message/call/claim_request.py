"""A router's claim on a request that is not idempotent."""

from __future__ import annotations

import msgspec


class ClaimRequest(msgspec.Struct, frozen=True):
    """Asks for the sole right to dispatch the request named by ``claim_key``.

    ``claimant`` names one attempt and is never used twice. ``issued_at`` is when the
    caller made the key (Unix s), 0 when not known.
    """

    claim_key: str
    claimant: str
    fingerprint: str
    issued_at: float = 0.0
