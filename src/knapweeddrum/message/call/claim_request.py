"""A router's claim on a request that is not idempotent."""

from __future__ import annotations

import msgspec


class ClaimRequest(msgspec.Struct, frozen=True):
    """Asks for the sole right to dispatch the request named by ``claim_key``."""

    claim_key: str
    claimant: str
    fingerprint: str
