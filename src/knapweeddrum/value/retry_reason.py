"""Reasons for failed attempts and retries."""

from __future__ import annotations

import enum


class RetryReason(enum.StrEnum):
    """Why an attempt failed or was repeated.

    The value is part of the name of the counter and a field of log events.
    """

    CONNECT_FAILED = "connect_failed"
    ENDPOINT_BUSY = "endpoint_busy"
    ENDPOINT_ERROR = "endpoint_error"
    STREAM_CUT = "stream_cut"
    """A model engine's stream ended before its final part."""
    STREAM_RESUMED = "stream_resumed"
    """The rest of a run's answer was requested from its engine."""
    APPEND_REPLY_LOST = "append_reply_lost"
    """An append to the log got no reply, so it may have been carried out."""
    KEEPER_UNREACHABLE = "keeper_unreachable"
    RESTARTED = "restarted"
    """Another start of the endpoint than the listed one may answer."""
    MOVED = "moved"
    """Another endpoint now has the address."""
    MALFORMED_ANSWER = "malformed_answer"
    ENDLESS_ANSWER = "endless_answer"
    """The endpoint went on sending beyond the limit of a head, event or body."""
    CONNECTION_LOST = "connection_lost"
    """The connection ended before the answer was complete."""
    DEADLINE = "deadline"
    PERMIT_LAPSED = "permit_lapsed"
    """The endpoint is cold, and the request has no permit any more."""
    DATA_CENTRE_EMPTIED = "data_centre_emptied"
    """The endpoint's data centre was emptied before the request was sent."""


NOT_SENT_REASONS = frozenset(
    {
        RetryReason.CONNECT_FAILED,
        RetryReason.RESTARTED,
        RetryReason.PERMIT_LAPSED,
        RetryReason.DATA_CENTRE_EMPTIED,
    }
)
"""Reasons of attempts that ended before the request was sent."""
