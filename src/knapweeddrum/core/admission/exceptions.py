"""Errors of admission control."""

from __future__ import annotations


class AdmissionError(Exception):
    """The admission controller was called with a wrong route or request."""


class UnknownRouteError(AdmissionError):
    """The route has no admission limits."""


class RepeatedRequestError(AdmissionError):
    """A request with this identifier is already queued or in progress."""
