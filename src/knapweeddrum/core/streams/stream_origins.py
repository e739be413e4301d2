"""Memory of what began the streams of the last seconds."""

from __future__ import annotations

from knapweeddrum.core.streams.endpoint_history import STREAM_MEMORY_SECONDS
from knapweeddrum.core.streams.stream_origin import StreamOrigin

MAX_REMEMBERED_STREAMS = 8_192


class StreamOrigins:
    """Remembers origins by stream key, bounded in number and time.

    Beyond MAX_REMEMBERED_STREAMS the oldest are forgotten. Times are in monotonic
    seconds.
    """

    def __init__(self, max_streams: int = MAX_REMEMBERED_STREAMS) -> None:
        self._max_streams = max_streams
        self._origins: dict[str, StreamOrigin] = {}
        self._recorded_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, key: str, origin: StreamOrigin, now: float) -> bool:
        """Record an origin, unless the stream has one; return whether it is new."""
        self._forget(now)
        if key in self._origins:
            return False
        self._origins[key] = origin
        self._recorded_at[key] = now
        return True

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known any more."""
        self._forget(now)
        return self._origins.get(key)

    def _forget(self, now: float) -> None:
        """Forget what is too old or too much; both dicts are in order of time."""
        while self._recorded_at:
            oldest, recorded_at = next(iter(self._recorded_at.items()))
            is_full = len(self._recorded_at) >= self._max_streams
            if now - recorded_at < STREAM_MEMORY_SECONDS and not is_full:
                return
            del self._origins[oldest], self._recorded_at[oldest]
