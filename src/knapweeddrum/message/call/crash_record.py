"""What a router knows of a request that may crash endpoints."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_mark import CrashMark


class CrashRecord(msgspec.Struct, frozen=True):
    """Marks of a request by the fingerprint of its content.

    Marks up to ``cleared_at``, in Unix seconds, were cleared.
    """

    fingerprint: str
    marks: tuple[CrashMark, ...]
    cleared_at: float
