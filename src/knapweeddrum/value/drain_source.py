"""Sources of the drain of a host."""

from __future__ import annotations

import enum


class DrainSource(enum.StrEnum):
    """Who requested a drain; a host drains as long as any source requests it."""

    OPERATOR = "operator"
    ROUTER = "router"
    """The host's router process, when it is about to stop."""
    KEEPER = "keeper"
    """The host's keeper process, when it is about to stop."""
