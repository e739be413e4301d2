"""Log records, or the state rebuilt from them, from a peer."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.held_record import HeldRecord

NO_STATE = -2
"""Position of a peer that has no state of the stream yet."""


class FetchReply(msgspec.Struct, frozen=True):
    """Records from the requested offset on, or the state that replaces them.

    A peer that no longer holds those records sends its encoded state after offset
    ``covers`` instead. ``position`` is the last offset that the peer has applied, -1
    for an empty stream and ``NO_STATE`` while it has no state.
    """

    records: tuple[HeldRecord, ...]
    covers: int = -1
    state: bytes = b""
    position: int = NO_STATE
