"""A crash of an endpoint while a request ran there."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Measure


class CrashMark(msgspec.Struct, frozen=True):
    """``endpoint`` crashed while a request ran there; ``at`` is in Unix seconds."""

    endpoint: str
    at: Measure
