"""States of a request claim."""

from __future__ import annotations

import enum


class RequestClaimState(enum.StrEnum):
    """State of the latest claim of a key.

    UNKNOWN means that the request was dispatched and may have run.
    """

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
