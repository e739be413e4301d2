"""The outcome of a claimed request."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class RequestClaimOutcome(Fact, frozen=True, tag="claim_outcome"):
    """What became of the request: ``state`` is ``done``, ``not_run`` or ``unknown``.

    ``status``, ``content_type`` and ``body`` are the answer, set with ``done``.
    """

    claim_key: str
    claimant: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
