"""States of a claimed request."""

from __future__ import annotations

import enum


class ClaimState(enum.StrEnum):
    """What the log says of the latest claim of a key."""

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
