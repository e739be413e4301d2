"""The last event of a watch stream that ends in good order."""

from __future__ import annotations

import msgspec


class WatchEnd(msgspec.Struct, frozen=True):
    """Why the stream ends; the watcher resumes elsewhere after ``offset``."""

    reason: str
    offset: int
