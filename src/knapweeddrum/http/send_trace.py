"""Detection of whether httpcore started to send a request."""

from __future__ import annotations

from typing import Any

SEND_STARTED = "http11.send_request_headers.started"
"""Trace event that httpcore emits just before it writes the first byte of a request."""


class SendTrace:
    """Trace callback for httpcore; ``sent`` is True once a byte may have been sent."""

    def __init__(self) -> None:
        self.sent = False

    async def __call__(self, name: str, info: dict[str, Any]) -> None:
        """Handle a trace event."""
        if name == SEND_STARTED:
            self.sent = True
