"""Errors of the decision layer."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of the errors of this layer."""


class OffsetGapError(CoreError):
    """A record was applied although records before it are missing."""


class StateError(CoreError):
    """The encoded state of a ledger can't be decoded."""
