"""Status and headers of an HTTP reply."""

from __future__ import annotations

import dataclasses
import math

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status code and headers; the names of headers are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""

    @property
    def retry_after(self) -> float:
        """Return the header Retry-After in seconds, bounded; a default without it."""
        try:
            seconds = float(self.header("retry-after"))
        except ValueError:
            return DEFAULT_RETRY_AFTER_SECONDS
        if not math.isfinite(seconds) or seconds < 0:
            return DEFAULT_RETRY_AFTER_SECONDS
        return min(seconds, MAX_RETRY_AFTER_SECONDS)
