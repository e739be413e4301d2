"""Properties of a request that a routing policy may use."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFeatures:
    """Priority, and digests of the prompt's prefixes, the longest first."""

    priority: Priority = Priority.LIVE
    prefixes: tuple[str, ...] = ()
