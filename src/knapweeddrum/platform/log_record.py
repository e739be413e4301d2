"""A record of the platform's log."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Offset in its stream, the log's time stamp (Unix seconds), and the payload."""

    offset: int
    time: float
    payload: bytes
