"""Errors of budget decisions."""

from __future__ import annotations

from knapweeddrum.core.exceptions import CoreError


class ReservationError(CoreError):
    """The reservation was settled or cancelled before."""
