"""The verdict on one fact of a batch."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.fact.any_fact import AnyFact


@dataclasses.dataclass(frozen=True, slots=True)
class FactVerdict:
    """The verdict on fact ``index`` of the batch ``sequence`` of ``writer``.

    ``tokens``, ``version`` and ``offset`` are those of ``LedgerOutcome``.
    """

    writer: str
    sequence: int
    index: int
    fact: AnyFact
    outcome: FactOutcome
    tokens: int = 0
    version: int = 0
    offset: int = -1
