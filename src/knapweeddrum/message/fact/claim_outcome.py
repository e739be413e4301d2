"""The outcome of a claimed request."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class ClaimOutcome(Fact, frozen=True, tag="claim_outcome"):
    """What the claimant learnt: ``done`` and the answer, ``not_run``, ``unknown``."""

    claim_key: str
    claimant: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
