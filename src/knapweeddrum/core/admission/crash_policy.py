"""Limits at which requests are suspected and blamed for crashes of endpoints."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.admission.crash_history import SAME_CRASH_SECONDS

SOLE_SUSPECT_CRASHES = 2
"""Distinct crashes after which a request is blamed if no other took part in all."""

MAX_CRASHES = 3
"""Distinct crashes after which a request is blamed, whatever else was running."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashPolicy:
    """How a CrashRegister judges crashes; times are in seconds.

    With ``acquits`` one complete answer proves that a request is harmless: it clears
    all crashes of the request, and crashes that follow within
    ANSWER_MEMORY_SECONDS are not counted against it. Otherwise it clears one crash.
    """

    suspect_crashes: int = 1
    """Crashes after which a request runs alone, once at a time."""
    sole_suspect_crashes: int = SOLE_SUSPECT_CRASHES
    same_crash_seconds: float = SAME_CRASH_SECONDS
    """Marks of one endpoint that are at most this far apart are one crash; infinite
    where an endpoint gets a new name with each start."""
    cut_memory_seconds: float = SAME_CRASH_SECONDS
    """Time for which a run that was cut counts as present at a crash."""
    acquits: bool = False
