"""A claim of the sole right to dispatch a request that is not idempotent."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class RequestClaim(Fact, frozen=True, tag="claim"):
    """The first claim of a key wins; ``fingerprint`` is a digest of the request.

    ``claimant`` names one attempt of one router: it is never used again after the
    outcome ``not_run``. ``issued_at`` is the log's time (s) at which the claim was
    made, 0 when not known; a claim that is appended after the claim window is void.
    """

    claim_key: str
    claimant: str
    fingerprint: str
    issued_at: float = 0.0
