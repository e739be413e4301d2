"""Encoded state of the replay of a stream: a MessagePack array in field order."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.replay.writer_state import WriterState


class ReplayState(msgspec.Struct, frozen=True, array_like=True):
    """Position, latest log time (s), writers by time, and the encoded ledger."""

    position: int
    time: float
    writers: tuple[WriterState, ...]
    ledger: bytes
    version: int = 1
