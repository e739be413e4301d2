"""Endpoints that may have a prompt's prefix cached."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import EndpointName


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixMatch:
    """``share`` is the part of the prompt's prefixes that is covered, 0 to 1."""

    share: float = 0.0
    endpoints: frozenset[EndpointName] = frozenset()
