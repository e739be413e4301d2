"""Status and headers of an HTTP reply."""

from __future__ import annotations

import dataclasses
import math

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status code and headers; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Return the first value of a header, or empty; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""

    @property
    def retry_after(self) -> float:
        """Return the seconds of the Retry-After header, up to the maximum.

        Returns the default if the header is absent or not a number of seconds.
        """
        try:
            seconds = float(self.header("retry-after"))
        except ValueError:
            return DEFAULT_RETRY_AFTER_SECONDS
        if not math.isfinite(seconds) or seconds < 0:
            return DEFAULT_RETRY_AFTER_SECONDS
        return min(seconds, MAX_RETRY_AFTER_SECONDS)
