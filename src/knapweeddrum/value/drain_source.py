"""Sources of the drain of a host."""

from __future__ import annotations

import enum


class DrainSource(enum.StrEnum):
    """Who requested a drain; a host drains as long as any source requests it."""

    OPERATOR = "operator"
    ROUTER = "router"
    """The router of the host, which is about to stop."""
    KEEPER = "keeper"
    """The keeper of the host, which is about to stop."""
