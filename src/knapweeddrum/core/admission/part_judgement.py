"""Judges which part of prompts crashes endpoints."""

from __future__ import annotations

from collections.abc import Mapping

from knapweeddrum.core.admission.crash_history import CrashHistory

MIN_PART_CRASHES = 5
"""Crashes of distinct starts of endpoints after which a part is blamed.

More than a rack takes along, and as many as the users' rule counts.
"""


def is_part_to_blame(
    part: str, histories: Mapping[str, CrashHistory], same_within: float
) -> bool:
    """Return whether a part explains its crashes better than any other suspect.

    It took part in MIN_PART_CRASHES since its last whole answer, which clears the
    crashes before. Of suspects that were always there together, the one with more
    crashes is blamed, be it a request; of equal parts the later one in the prompt,
    which fewer requests share.
    ``same_within`` is the time in seconds in which marks of one endpoint are the same
    crash.
    """
    history = histories[part]
    if len(history.crashes(same_within)) < MIN_PART_CRASHES:
        return False
    return not any(
        _explains_better(other, history)
        for name, other in histories.items()
        if name != part
    )


def _explains_better(other: CrashHistory, history: CrashHistory) -> bool:
    if not other.covers(history):
        return False
    if not history.covers(other):
        return True
    return other.rank > history.rank
