"""A ledger's verdict on one fact."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.replay.fact_outcome import FactOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOutcome:
    """The outcome and the figures that belong to the kind of fact.

    ``tokens`` is what was deposited, granted, returned, released or charged.
    ``version`` and ``offset`` are those of the resource after a configuration change.
    """

    outcome: FactOutcome
    tokens: int = 0
    version: int = 0
    offset: int = -1
