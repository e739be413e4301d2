"""Where a request runs."""

from __future__ import annotations

import msgspec


class LocateReply(msgspec.Struct, frozen=True):
    """Empty when no run is known; ``router`` holds or held the caller's stream."""

    router: str = ""
    endpoint: str = ""
    run_id: str = ""
