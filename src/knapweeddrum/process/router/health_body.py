"""The reply of the health check."""

from __future__ import annotations

import msgspec


class HealthBody(msgspec.Struct, frozen=True):
    """``state`` is waiting, serving, leaving_advice or refusing."""

    state: str
    config_offset: int
    in_progress: int
