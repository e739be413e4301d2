"""Results of opening a connection."""

from __future__ import annotations

import enum


class ProbeResult(enum.StrEnum):
    """What became of a connection that was opened to an endpoint."""

    CONNECTED = "connected"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
