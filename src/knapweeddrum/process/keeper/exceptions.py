"""Errors of the keeper."""

from __future__ import annotations


class KeeperError(Exception):
    """Base class of the keeper's errors."""


class NotAppendedError(KeeperError):
    """The fact was withdrawn before it was written to the log."""


class AppendPendingError(KeeperError):
    """The fact may be on the log already or may still be written to it."""


class NoStateError(KeeperError):
    """The keeper has no state of a stream yet."""
