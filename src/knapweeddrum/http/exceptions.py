"""Errors of the HTTP layer."""

from __future__ import annotations


class ExchangeError(Exception):
    """An HTTP exchange failed."""


class NotSentError(ExchangeError):
    """No byte of the request was sent, so the server can't have acted on it."""


class PeerRefusedError(NotSentError):
    """The host of the server is up, and nothing accepts connections there."""


class NoPathError(NotSentError):
    """No way leads to the server; that says nothing of the server itself."""


class ConnectionLimitError(NotSentError):
    """The limit of open connections to the server has been reached."""


class NoReplyError(ExchangeError):
    """The request may have been sent, but no complete reply was received."""


class PathCutError(NoReplyError):
    """The way to the server was cut, which says nothing of the server itself."""


class MalformedReplyError(NoReplyError):
    """The bytes received are not a valid reply to the request."""


class EndlessReplyError(MalformedReplyError):
    """The server goes on sending beyond the limit of what is read."""


class TruncatedReplyError(NoReplyError):
    """The connection ended and the reply received is not whole."""


class MalformedRequestError(Exception):
    """A request is invalid; ``status`` is the HTTP status to reply with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NoRoomError(Exception):
    """This host has no memory for a request that is being received; it has not run."""


class PeerDisconnectedError(Exception):
    """The peer has closed the connection or can no longer be reached."""
