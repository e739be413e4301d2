"""What shows whether an endpoint still runs."""

from __future__ import annotations

import enum


class LifeSign(enum.Enum):
    """What became of a new connection to an endpoint."""

    REPLIED = "replied"
    KEPT_OPEN = "kept_open"
    """It accepted the connection and kept it open without a reply."""
    ACCEPTED = "accepted"
    """It accepted the connection; it ended it without a reply or was not asked for one.

    So does an endpoint with too many connections, and the kernel for a process that is
    about to end.
    """
    REFUSED = "refused"
    UNREACHED = "unreached"
    """No connection in time, or one that was reset as it was opened."""
