"""Switches of the stand-in for the log."""

from __future__ import annotations

import msgspec


class AppendLogSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Failures to bring about; times are in seconds, 0 switches a limit off."""

    outage: bool = False
    slow_seconds: float = 0.0
    lose_replies: int = 0
    read_lag_seconds: float = 0.0
    retention_records: int = 0
    retention_seconds: float = 0.0
    appends_per_second: float = 0.0
