"""A ledger's verdict on one fact."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.replay.fact_outcome import FactOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOutcome:
    """The outcome of a fact, with figures that depend on its type.

    ``tokens`` were deposited, granted, returned, released or charged. ``version`` and
    ``offset`` are those of the resource after a configuration change.
    """

    outcome: FactOutcome
    tokens: int = 0
    version: int = 0
    offset: int = -1
