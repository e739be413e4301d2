"""Start or end the drain of a host."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.drain_source import DrainSource


class DrainRequest(msgspec.Struct, frozen=True):
    """Tells the keeper of ``host`` whether ``source`` requests a drain of the host."""

    host: str
    draining: bool
    source: DrainSource = DrainSource.OPERATOR
