"""Conditions of an endpoint."""

from __future__ import annotations

import enum


class EndpointCondition(enum.StrEnum):
    """Whether a host sends requests to an endpoint, and why not."""

    USABLE = "usable"
    LEAVING = "leaving"
    """It said in an answer that it leaves."""
    BACKS_OFF = "backs_off"
    """It wants no requests from this host for a while."""
    DRAINING = "draining"
    """The endpoint has announced that it is leaving."""
    ENDED = "ended"
    """The endpoint has crashed; its next start is not listed yet."""
    SILENT = "silent"
    """A request has waited too long and the endpoint has sent no data."""
    EJECTED = "ejected"
    """The endpoint failed and gets no requests for a while."""
    PROBING = "probing"
    """After an ejection, one request at a time tests whether it has recovered."""
    FULL = "full"
    """The endpoint has reported too many requests that wait for a slot."""
