"""The claim of a request that is not idempotent."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Claim(Fact, frozen=True, tag="claim"):
    """Asks for the sole right to dispatch a request; the first claim of a key wins.

    ``claimant`` names one attempt of one router and is never used again after the
    outcome ``not_run``. ``fingerprint`` is a digest of the request. ``issued_at`` is
    the log's time (s) at which the claim was made, 0 if unknown; a claim that reaches
    the log after the claim window is void.
    """

    claim_key: str
    claimant: str
    fingerprint: str
    issued_at: float = 0.0
