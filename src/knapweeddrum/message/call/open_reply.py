"""The witness's answer to an opening."""

from __future__ import annotations

import msgspec


class OpenReply(msgspec.Struct, frozen=True):
    """False when the witness has closed the grant: no more of it may be spent."""

    allowed: bool
