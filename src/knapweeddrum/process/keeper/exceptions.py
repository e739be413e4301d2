"""Errors of the keeper."""

from __future__ import annotations


class KeeperError(Exception):
    """Base class of the keeper's errors."""


class NotAppendedError(KeeperError):
    """The fact is not on the log and never will be."""


class AppendPendingError(KeeperError):
    """The fact may be on the log already, or may reach it later."""


class NoStateError(KeeperError):
    """The keeper has no state of a stream yet."""
