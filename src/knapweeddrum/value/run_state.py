"""Whether a refused request may have run."""

from __future__ import annotations

import enum


class RunState(enum.StrEnum):
    """What is known of the execution of a request that got no whole answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
