"""Errors of the HTTP layer."""

from __future__ import annotations


class ExchangeError(Exception):
    """An HTTP exchange came to no usable end."""


class NotSentError(ExchangeError):
    """No byte of the request left: the server can't have acted on it."""


class NoReplyError(ExchangeError):
    """The request may have been sent and no whole reply came."""
