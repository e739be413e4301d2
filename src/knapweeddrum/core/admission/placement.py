"""Where a request may run, as far as crashes are concerned."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import EndpointName


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """``exclude`` names endpoints that run other suspects."""

    suspect: bool = False
    exclude: frozenset[EndpointName] = frozenset()
