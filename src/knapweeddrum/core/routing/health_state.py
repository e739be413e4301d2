"""States of an endpoint's health."""

from __future__ import annotations

import enum


class HealthState(enum.StrEnum):
    """Whether an endpoint takes requests freely, as single probes, or not at all."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
