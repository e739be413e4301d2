"""A claim on a request that is not idempotent."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Claim(Fact, frozen=True, tag="claim"):
    """The first claim of a key wins; ``fingerprint`` is a digest of the request."""

    claim_key: str
    claimant: str
    fingerprint: str
