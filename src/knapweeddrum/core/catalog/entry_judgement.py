"""Why an entry of an endpoint counts, or not."""

from __future__ import annotations

import dataclasses
import enum


class EntryRule(enum.Enum):
    """The rule that an entry was judged by; see ``EntryOrder``."""

    FIRST = "first"
    """Nothing is known of its endpoint."""
    NEXT = "next"
    """It has the number of the newest known, or a higher one."""
    LATER_START = "later_start"
    AFTER_SILENCE = "after_silence"
    """Its endpoint was removed for its silence, or nothing tells why."""
    AFTER_LEAVING = "after_leaving"
    """Too many were sent since the one before the removal for it to be late."""
    CARRIED_OUT_LATER = "carried_out_later"
    """It was carried out later than what was sent before can be."""
    UNTOLD_START = "untold_start"
    """Nothing tells that it is of the start that is known."""
    OLDER = "older"
    """It has a lower number than the newest known."""
    EARLIER_START = "earlier_start"
    BEFORE_REMOVAL = "before_removal"
    """It was sent before its endpoint was removed."""

    @property
    def is_outdated(self) -> bool:
        """Return whether an entry was written before what is known of its endpoint."""
        return self in _OUTDATED


_OUTDATED = frozenset(
    {EntryRule.OLDER, EntryRule.EARLIER_START, EntryRule.BEFORE_REMOVAL}
)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryJudgement:
    """How an entry was judged, and what of its endpoint it was compared with."""

    rule: EntryRule
    known_number: int | None = None
    """Number of the newest entry that is known, None if none is."""
    known_started_at_ms: int | None = None
    known_for: float | None = None
    """Seconds since that entry, or its removal, was read."""
    was_removed: bool = False
