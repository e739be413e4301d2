"""Switches of the stand-in for a model engine."""

from __future__ import annotations

import msgspec


class ModelEngineSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Speed, limits and failures to simulate; times are in seconds.

    A run whose prompt contains ``crash_marker`` crashes the engine when it starts.
    The next ``wrong_streams`` streams have the identifier of another run. The next
    ``cut_streams`` streams are disconnected after ``cut_after_parts`` parts. Every
    ``cache_gap_every``-th cache event is not published; 0 publishes all. With
    ``refuse`` new runs get 503.
    """

    endpoint: str = "model-engine"
    slots: int = 8
    queue_limit: int = 1000
    token_seconds: float = 0.001
    prefill_seconds: float = 0.0
    cached_prefill_seconds: float = 0.0
    leaving: bool = False
    refuse: bool = False
    crash_marker: str = "CRASH-ENGINE"
    wrong_streams: int = 0
    cut_streams: int = 0
    cut_after_parts: int = 0
    cache_prefixes: int = 1000
    cache_lag_seconds: float = 0.0
    cache_gap_every: int = 0
    load_lag_seconds: float = 0.0
