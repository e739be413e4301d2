"""A fact that waits for its verdict."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.fold.fact_verdict import FactVerdict
from knapweeddrum.message.fact.any_fact import AnyFact


@dataclasses.dataclass(slots=True, eq=False)
class PendingFact:
    """A fact of this keeper, and its verdict once it has been read back."""

    fact: AnyFact
    verdict: FactVerdict | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
