"""Endpoints that probably have a prompt's prefix cached."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import EndpointName


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixMatch:
    """``coverage`` is the fraction of the prompt's prefixes that is cached."""

    coverage: float = 0.0
    endpoints: frozenset[EndpointName] = frozenset()
