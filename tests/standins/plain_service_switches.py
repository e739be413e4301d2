"""Switches of the stand-in for a plain service."""

from __future__ import annotations

import msgspec


class PlainServiceSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Failures to simulate; times are in seconds.

    The next ``cut_replies`` requests run, but are disconnected without a reply. A
    request whose body contains ``crash_marker`` runs and crashes the service. With
    ``refuse`` requests get 503 and don't run.
    """

    endpoint: str = "plain-service"
    slots: int = 16
    leaving: bool = False
    load_lag_seconds: float = 0.0
    delay_seconds: float = 0.0
    cut_replies: int = 0
    refuse: bool = False
    crash_marker: str = "CRASH-SERVICE"
