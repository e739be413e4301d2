"""Errors of the decision layer."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of the errors of this layer."""


class OffsetGapError(CoreError):
    """A record was folded although records before it are missing."""


class StateError(CoreError):
    """The encoded state of a fold can't be decoded."""
