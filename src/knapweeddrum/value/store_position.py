"""Positions in the streams of a store that may come back from an older copy.

Such a store gives offsets out again, in a later era. A position has the era in its
upper bits and the offset in the lower ones, so that what was written later always has
the higher position.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

OFFSET_BITS = 48
OFFSET_MASK = (1 << OFFSET_BITS) - 1

Offset = Annotated[int, msgspec.Meta(ge=0, le=OFFSET_MASK)]
"""Offset as the store gives it out."""


def store_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era of the store."""
    return (era << OFFSET_BITS) | offset


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position, which the store may give out in other eras."""
    return position & OFFSET_MASK
