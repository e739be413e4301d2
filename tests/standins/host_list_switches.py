"""Switches of the stand-in for the host list."""

from __future__ import annotations

import msgspec


class HostListSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """``lag_seconds`` is the delay after which a replaced list is returned."""

    outage: bool = False
    lag_seconds: float = 0.0
