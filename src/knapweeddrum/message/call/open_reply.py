"""The witness's answer to an opening."""

from __future__ import annotations

import msgspec


class OpenReply(msgspec.Struct, frozen=True):
    """``closed``: no more of the grant may ever be spent.

    Neither ``allowed`` nor ``closed`` is set when the witness has not read the grant
    yet: ask again.
    """

    allowed: bool
    closed: bool = False
