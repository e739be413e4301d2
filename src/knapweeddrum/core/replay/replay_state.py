"""Encoded state of a stream's fold."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.replay.writer_state import WriterState


class ReplayState(msgspec.Struct, frozen=True, array_like=True):
    """Position, latest log time (s), writers by time, and the ledger's own state."""

    position: int
    time: float
    writers: tuple[WriterState, ...]
    ledger: bytes
    version: int = 1
