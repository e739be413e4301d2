"""Interface of the state that facts of one kind of stream build up."""

from __future__ import annotations

import abc

from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.message.fact.any_fact import AnyFact


class Ledger(abc.ABC):
    """A deterministic state machine over facts; times are the log's, in seconds."""

    @abc.abstractmethod
    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Take one fact and return the verdict; None for facts of other ledgers."""

    @abc.abstractmethod
    def prune(self, time: float) -> None:
        """Forget what the windows of this ledger no longer cover at ``time``."""

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""

    @abc.abstractmethod
    def load(self, state: bytes) -> None:
        """Replace the state by an encoded one.

        Raises StateError when it can't be decoded.
        """
