"""Crashes of endpoints that one request may have caused."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_mark import CrashMark


class CrashRecord(msgspec.Struct, frozen=True):
    """The crashes that count against a request, as processes exchange them.

    ``fingerprint`` is a digest of the request's content, so that all copies of it share
    a record. Marks up to ``cleared_at`` (Unix seconds) no longer count.
    """

    fingerprint: str
    marks: tuple[CrashMark, ...]
    cleared_at: float
