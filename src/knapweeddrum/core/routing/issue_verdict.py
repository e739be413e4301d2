"""Verdicts on the record that an order is to be issued."""

from __future__ import annotations

import enum


class IssueVerdict(enum.StrEnum):
    """What the log's order says of an issue record."""

    ACCEPTED = "accepted"
    OUTSTANDING = "outstanding"
    """Another order to an engine that ignores fencing numbers is not finished."""
