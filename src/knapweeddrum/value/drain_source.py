"""Sources of the drain of a host."""

from __future__ import annotations

import enum


class DrainSource(enum.StrEnum):
    """Who requested a drain; a host drains as long as any source requests it."""

    OPERATOR = "operator"
    ROUTER = "router"
    KEEPER = "keeper"
