"""Interface of the state that is rebuilt from the facts of a stream."""

from __future__ import annotations

import abc

from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.message.fact.any_fact import AnyFact


class Ledger(abc.ABC):
    """A deterministic state machine over facts; times are log times in seconds."""

    @abc.abstractmethod
    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Apply one fact and return the verdict; None for facts of other ledgers."""

    @abc.abstractmethod
    def prune(self, time: float) -> None:
        """Forget identifiers that are older than their windows at ``time``."""

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""

    @abc.abstractmethod
    def load(self, state: bytes) -> None:
        """Replace the state by an encoded one.

        Raises StateError if ``state`` can't be decoded.
        """
