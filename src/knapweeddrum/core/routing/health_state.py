"""States of an endpoint's health."""

from __future__ import annotations

import enum


class HealthState(enum.StrEnum):
    """Whether an endpoint gets all requests, none, or one probe at a time."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
