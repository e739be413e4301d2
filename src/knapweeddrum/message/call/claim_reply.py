"""The verdict on the claim of a request."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.claim_verdict import ClaimVerdict


class ClaimReply(msgspec.Struct, frozen=True):
    """The verdict, and with DONE the recorded answer to the request.

    ``status``, ``content_type`` and ``body`` are set only with DONE; ``body_kept`` is
    then false if the body of the answer is no longer kept. ``retry_after`` is in
    seconds, set with UNAVAILABLE; 0 stands for none.
    """

    verdict: ClaimVerdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_after: float = 0.0
    body_kept: bool = True
