"""The state of one writer of a stream."""

from __future__ import annotations

import msgspec


class WriterState(msgspec.Struct, frozen=True, array_like=True):
    """Sequence number of a writer's last batch, and its log time (s)."""

    time: float
    writer: str
    sequence: int
