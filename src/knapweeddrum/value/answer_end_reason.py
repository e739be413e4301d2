"""Reasons why an answer counts as whole or broken off."""

from __future__ import annotations

import enum


class AnswerEndReason(enum.StrEnum):
    """What the end of an answer was judged by; part of the name of a counter."""

    FRAMED = "framed"
    """All bytes that the framing announced were received."""
    INSIDE_EVENT = "inside_event"
    NO_EVENT = "no_event"
    """A stream ended with its connection before its first event."""
    CONNECTION_ENDED = "connection_ended"
    """The connection ended and the endpoint still ran after it."""
    REQUEST_UNREAD = "request_unread"
    """The connection ended with part of the request not taken by the endpoint."""
    ENDPOINT_GONE = "endpoint_gone"
    """The connection ended and the endpoint refuses new ones."""
    ENDPOINT_SILENT = "endpoint_silent"
    """The connection ended and the endpoint gave no sign of life."""
