"""What became of an entry that was read."""

from __future__ import annotations

import enum


class EntryOutcome(enum.Enum):
    """What an entry that was read changes in the service list."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    OUTDATED = "outdated"
    """It was written before what is known of its endpoint, and is left out."""
