"""Switches of the stand-in for the weight store."""

from __future__ import annotations

import msgspec


class WeightStoreSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """``fetches_per_second`` of 0 is no limit."""

    outage: bool = False
    fetches_per_second: float = 0.0
    retry_after_seconds: float = 1.0
