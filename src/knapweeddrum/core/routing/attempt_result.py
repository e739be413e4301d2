"""Results of an attempt, for the health of its endpoint."""

from __future__ import annotations

import enum


class AttemptResult(enum.StrEnum):
    """How an attempt ended.

    BUSY and CANCELLED don't affect the endpoint's health. An attempt that the caller
    cancelled after the first part of the answer counts as SUCCESS.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    BUSY = "busy"
    CANCELLED = "cancelled"
