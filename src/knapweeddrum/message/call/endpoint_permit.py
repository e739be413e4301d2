"""Permit to send a request to an endpoint that has named a limit."""

from __future__ import annotations

import msgspec


class PermitRequest(msgspec.Struct, frozen=True):
    """Asks the owner of an endpoint's permits for one."""

    instance: str
    """Start of the endpoint."""
    per_second: float
    """Limit as the asking host knows it."""
    age: float
    """Seconds since an answer named it."""
    sender: str
    """Incarnation that asks."""


class PermitReply(msgspec.Struct, frozen=True):
    """Whether a permit was given; without one, ``wait`` seconds until the next try."""

    is_given: bool
    wait: float = 0.0
    per_second: float | None = None
    """Limit as the owner knows it, None if it has ended."""
    age: float = 0.0
