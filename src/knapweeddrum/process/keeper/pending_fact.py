"""A fact that waits for its verdict."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.replay.fact_verdict import FactVerdict


@dataclasses.dataclass(slots=True, eq=False)
class PendingFact:
    """An encoded fact of this keeper, and its verdict once it has been read back."""

    encoded: bytes
    verdict: FactVerdict | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
