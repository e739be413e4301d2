"""A router's claim of a request that is not idempotent."""

from __future__ import annotations

import msgspec


class ClaimRequest(msgspec.Struct, frozen=True):
    """Asks for the sole right to dispatch the request named by ``claim_key``.

    ``claimant`` names one attempt; a repeat of this call keeps it, another attempt gets
    a new one. ``fingerprint`` is a digest of the request. ``issued_at`` is when the
    caller created the key (Unix seconds), 0 if that is unknown.
    """

    claim_key: str
    claimant: str
    fingerprint: str
    issued_at: float = 0.0
