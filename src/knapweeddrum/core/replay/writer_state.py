"""What a fold keeps of one writer."""

from __future__ import annotations

import msgspec


class WriterState(msgspec.Struct, frozen=True, array_like=True):
    """Last sequence of a writer and the log's time (s) at which it was folded."""

    time: float
    writer: str
    sequence: int
