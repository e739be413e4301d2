"""Crashes of endpoints that one request may have caused."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.value.documents import Count, Measure


class CrashRecord(msgspec.Struct, frozen=True):
    """The crashes that count against a suspect, as processes exchange them.

    ``fingerprint`` is a digest of a request's content, so that all copies of it share
    a record, or names a part of prompts (``part:`` and its identifier). Marks up to
    ``cleared_at`` (Unix seconds) no longer count.
    """

    fingerprint: str
    marks: tuple[CrashMark, ...]
    cleared_at: Measure
    rank: Count = 0
    """Place of a part in its prompts, counted from the first; 0 for a request."""
