"""What an endpoint says of itself."""

from __future__ import annotations

import enum


class EndpointNotice(enum.StrEnum):
    """A field of log events and part of the name of a counter."""

    LEAVING = "leaving"
    BACK_OFF = "back_off"
    """It wants nothing from this host for a while."""
    LIMIT = "limit"
    """It takes no more requests a second than it says, from all hosts together."""
    LIMIT_END = "limit_end"
    IGNORED = "ignored"
    """What it said is meaningless."""
    LOAD_IGNORED = "load_ignored"
    """The load that it reported can't be read."""
