"""How long the claim fold keeps claims and answers."""

from __future__ import annotations

import dataclasses

DAY = 24 * 3600.0
"""Seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWindows:
    """Windows in seconds of log time, and bounds of the kept answers in bytes.

    ``claim`` counts from the last change of a claim with a final outcome;
    ``unresolved`` keeps claims without an outcome, or with ``unknown``, longer,
    because their winner may still be paused before its dispatch. Answer bodies go
    after ``body``, and the oldest go first above ``body_total``.
    """

    claim: float = DAY
    unresolved: float = 30 * DAY
    body: float = 3600.0
    body_limit: int = 16 * 1024
    body_total: int = 4 * 1024 * 1024
