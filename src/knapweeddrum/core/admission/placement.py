"""Constraints on the placement of a request after endpoint crashes."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import EndpointName


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Endpoints that a request must avoid because they run suspects of a crash.

    ``suspect`` tells whether the request itself is suspected.
    """

    suspect: bool = False
    exclude: frozenset[EndpointName] = frozenset()
