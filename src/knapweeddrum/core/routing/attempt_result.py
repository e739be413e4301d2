"""Results of an attempt, as far as an endpoint's health is concerned."""

from __future__ import annotations

import enum


class AttemptResult(enum.StrEnum):
    """How an attempt ended.

    An attempt that the caller cancelled after its first part counts as SUCCESS;
    CANCELLED says nothing about the endpoint, and neither does BUSY.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    BUSY = "busy"
    CANCELLED = "cancelled"
