"""Errors of the routing decisions."""

from __future__ import annotations


class RoutingError(Exception):
    """Base class of the routing errors."""


class UnknownEndpointError(RoutingError):
    """The endpoint is not in the table."""


class UnknownOrderError(RoutingError):
    """The order is not in the order book."""
