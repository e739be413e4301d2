"""Sources that say that an endpoint is leaving."""

from __future__ import annotations

import enum


class LeavingSource(enum.StrEnum):
    """Who said it; only the same source, or a fresher load report, takes it back."""

    HOST_LIST = "host_list"
    LOAD_REPORT = "load_report"
    CONNECTION_CLOSE = "connection_close"
    OPERATOR = "operator"
