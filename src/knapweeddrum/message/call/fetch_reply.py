"""Log records, or the state of a fold, from a peer."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.held_record import HeldRecord

NO_STATE = -2


class FetchReply(msgspec.Struct, frozen=True):
    """Records from the asked offset on, or the state of a fold.

    When the peer no longer holds those records, it sends the encoded state of its
    fold after offset ``covers`` instead. ``position`` is the last offset that the peer
    has folded, -1 for an empty stream and ``NO_STATE`` while it has no state.
    """

    records: tuple[HeldRecord, ...]
    covers: int = -1
    state: bytes = b""
    position: int = NO_STATE
