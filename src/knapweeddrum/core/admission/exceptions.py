"""Errors of the admission decisions."""

from __future__ import annotations


class AdmissionError(Exception):
    """An admission decision was asked for something it cannot know."""


class UnknownRouteError(AdmissionError):
    """The route has no admission limits."""


class RepeatedRequestError(AdmissionError):
    """A request with this identifier is already queued or in progress."""
