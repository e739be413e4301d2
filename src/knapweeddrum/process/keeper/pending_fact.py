"""A fact that has no verdict yet."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.replay.fact_verdict import FactVerdict


@dataclasses.dataclass(slots=True, eq=False)
class PendingFact:
    """An encoded fact of this keeper, and its verdict once it is read back.

    ``decided`` is set with or without a verdict, see ``LogAppender``.
    """

    encoded: bytes
    verdict: FactVerdict | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
