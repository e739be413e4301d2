"""Whether a request may have been executed."""

from __future__ import annotations

import enum


class RunState(enum.StrEnum):
    """What is known about the execution of a request that got no complete answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
