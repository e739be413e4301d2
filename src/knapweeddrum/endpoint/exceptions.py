"""Errors of the endpoint clients."""

from __future__ import annotations


class EndpointError(Exception):
    """An endpoint gave no usable answer; the request may have run."""


class EndpointConnectError(EndpointError):
    """The connection could not be made, so the request was not sent."""


class EndpointBusyError(EndpointError):
    """The endpoint refused the request before running it.

    ``retry_after`` is in seconds.
    """

    def __init__(self, message: str, retry_after: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class InvalidRequestError(EndpointError):
    """This client or the endpoint rejected the request as invalid; it did not run."""


class UnknownRunError(EndpointError):
    """The engine doesn't know the run."""


class StreamCutError(EndpointError):
    """The stream of an answer ended before the final part."""


class WrongStreamError(EndpointError):
    """A part or usage report belongs to a run that was not requested."""
