"""Switches of the stand-in for the append-only log."""

from __future__ import annotations

import msgspec


class AppendLogSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Failures to simulate; times are in seconds, and a limit of 0 is disabled.

    The replies to the next ``lose_replies`` appends are lost. Readers see records
    ``read_lag_seconds`` late.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_replies: int = 0
    read_lag_seconds: float = 0.0
    retention_records: int = 0
    retention_seconds: float = 0.0
    appends_per_second: float = 0.0
