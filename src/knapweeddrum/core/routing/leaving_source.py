"""Sources of notices that an endpoint is leaving."""

from __future__ import annotations

import enum


class LeavingSource(enum.StrEnum):
    """Who gave notice that an endpoint is about to stop.

    Only the source that gave a notice withdraws it, except that a later load report
    also withdraws the notice of a closed connection.
    """

    HOST_LIST = "host_list"
    LOAD_REPORT = "load_report"
    CONNECTION_CLOSE = "connection_close"
    OPERATOR = "operator"
