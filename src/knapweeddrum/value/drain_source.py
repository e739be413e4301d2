"""Who drains a host."""

from __future__ import annotations

import enum


class DrainSource(enum.StrEnum):
    """A host is draining while any of these says so."""

    OPERATOR = "operator"
    ROUTER = "router"
    KEEPER = "keeper"
