"""Switches of the stand-in for a plain service."""

from __future__ import annotations

import msgspec


class PlainServiceSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Failures to bring about; times are in seconds.

    ``cut_replies`` calls run and get no answer. A call whose body contains the crash
    marker runs and ends the service. With ``refuse`` calls get 503 and don't run.
    """

    endpoint: str = "plain-service"
    slots: int = 16
    leaving: bool = False
    load_lag_seconds: float = 0.0
    delay_seconds: float = 0.0
    cut_replies: int = 0
    refuse: bool = False
    crash_marker: str = "CRASH-SERVICE"
