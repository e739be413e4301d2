"""Observation of whether a request began to leave."""

from __future__ import annotations

from typing import Any

SEND_STARTED = "http11.send_request_headers.started"
"""Trace event of httpcore just before the first byte of a request is written."""


class SendWatch:
    """Trace callback of httpcore; ``sent`` once a byte may have left."""

    def __init__(self) -> None:
        self.sent = False

    async def __call__(self, name: str, info: dict[str, Any]) -> None:
        """Take note of a trace event."""
        if name == SEND_STARTED:
            self.sent = True
