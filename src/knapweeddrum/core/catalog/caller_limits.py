"""Limits on what callers may send."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests; sizes are in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout: float = 5.0
    idle_timeout: float = 15.0
