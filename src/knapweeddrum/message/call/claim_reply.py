"""The verdict on a claim."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.claim_verdict import ClaimVerdict


class ClaimReply(msgspec.Struct, frozen=True):
    """The verdict; the answer's fields are set with ``DONE``, ``retry_after`` (s) with
    ``UNAVAILABLE`` and ``PENDING``. ``body_kept`` is false with ``DONE`` when the
    answer's body is no longer kept.
    """

    verdict: ClaimVerdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_after: float = 0.0
    body_kept: bool = True
