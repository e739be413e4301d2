"""A record of the platform's log."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A payload with its stream offset and the log's timestamp in Unix seconds."""

    offset: int
    time: float
    payload: bytes
