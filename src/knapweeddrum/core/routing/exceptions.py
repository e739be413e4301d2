"""Errors of the routing decisions."""

from __future__ import annotations


class RoutingError(Exception):
    """A routing decision was asked for something it cannot know."""


class UnknownEndpointError(RoutingError):
    """The endpoint is not in the table."""


class UnknownOrderError(RoutingError):
    """The order is not in the order book."""
