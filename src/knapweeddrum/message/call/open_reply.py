"""A witness's reply to a request to unlock tokens of a grant."""

from __future__ import annotations

import msgspec


class OpenReply(msgspec.Struct, frozen=True):
    """``allowed``: the tokens are unlocked; ``closed``: no more will ever be.

    Neither is set while the witness has not read the grant from the log; the holder
    then asks again.
    """

    allowed: bool
    closed: bool = False
