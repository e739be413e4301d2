"""A witness's reply to a request to unlock tokens of a grant."""

from __future__ import annotations

import msgspec


class UnlockReply(msgspec.Struct, frozen=True):
    """``closed``: the witness will unlock no more tokens of the grant.

    Neither ``allowed`` nor ``closed`` is set when the witness has not read the grant
    from the log yet; the holder then asks again.
    """

    allowed: bool
    closed: bool = False
