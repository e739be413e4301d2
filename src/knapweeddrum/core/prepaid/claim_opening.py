"""Opening of an era of the store for claims."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Count


class ClaimOpening(msgspec.Struct, frozen=True):
    """From this record on the stream has all claims, and more may be written."""

    era: Count
