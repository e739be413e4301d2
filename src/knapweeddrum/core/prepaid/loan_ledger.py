"""What a host has lent to each of the others."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from knapweeddrum.core.prepaid.token_account import DEMAND_DECAY_SECONDS

BORROWER_MEMORY_SECONDS = 3 * DEMAND_DECAY_SECONDS
"""Time after its last request for which a borrower's free tokens are remembered.

It has given back most of them by then, as what it keeps decreases with its demand.
"""


@dataclasses.dataclass(slots=True)
class _Borrower:
    number: int = 0
    """Number of its last request."""
    lent_tokens: int = 0
    """Tokens lent to it since this host started, less those that never arrived."""
    free_tokens: int = 0
    """Free tokens that it reported, with what was lent to it since."""
    returned_tokens: int = 0
    """Tokens that it has given back in all."""
    seen_at: float = float("-inf")


class LoanLedger:
    """Recovers loans whose reply was lost, and knows who may have free tokens.

    A borrower numbers its requests, has one at a time, and tells with each what it has
    received in all. What was lent beyond that never arrived and never will, because it
    has given up the earlier request. ``now`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self._borrowers: dict[str, dict[str, _Borrower]] = {}
        self._forgotten: set[str] = set()
        """Borrowers whose totals would count once more."""

    def begin(
        self,
        organisation: str,
        borrower: str,
        number: int,
        received: int,
        free: int,
        now: float,
    ) -> int | None:
        """Return the tokens to take back, None if a later request came before."""
        known = self._borrower(organisation, borrower)
        if number <= known.number:
            return None
        lost = max(0, known.lent_tokens - received)
        known.number = number
        known.lent_tokens = received
        known.free_tokens = free
        known.seen_at = now
        return lost

    def record_loan(self, organisation: str, borrower: str, tokens: int) -> None:
        """Record the tokens that are lent in answer to a request."""
        known = self._borrowers[organisation][borrower]
        known.lent_tokens += tokens
        known.free_tokens += tokens

    def accept_return(self, organisation: str, borrower: str, total: int) -> int | None:
        """Return the tokens that are new in what a borrower gave back in ``total``.

        None if the borrower was forgotten, so that nobody knows what is new.
        """
        if borrower in self._forgotten:
            return None
        known = self._borrower(organisation, borrower)
        tokens = max(0, total - known.returned_tokens)
        known.returned_tokens += tokens
        known.free_tokens = max(0, known.free_tokens - tokens)
        return tokens

    def forget(self, is_ended: Callable[[str], bool]) -> None:
        """Drop the borrowers that have ended for good.

        One that is alive after all keeps what it gives back from then on.
        """
        for borrowers in self._borrowers.values():
            for name in [name for name in borrowers if is_ended(name)]:
                del borrowers[name]
                self._forgotten.add(name)

    def outstanding(self, organisation: str, now: float) -> int:
        """Return the free tokens that borrowers may still have."""
        return sum(known.free_tokens for known in self._recent(organisation, now))

    def holders(self, organisation: str, now: float) -> list[str]:
        """Return the borrowers that may have free tokens, most first."""
        recent = {
            name: known.free_tokens
            for name, known in self._borrowers.get(organisation, {}).items()
            if known.free_tokens > 0 and now - known.seen_at <= BORROWER_MEMORY_SECONDS
        }
        return sorted(recent, key=lambda name: (-recent[name], name))

    def _borrower(self, organisation: str, name: str) -> _Borrower:
        borrowers = self._borrowers.setdefault(organisation, {})
        return borrowers.setdefault(name, _Borrower())

    def _recent(self, organisation: str, now: float) -> list[_Borrower]:
        return [
            known
            for known in self._borrowers.get(organisation, {}).values()
            if now - known.seen_at <= BORROWER_MEMORY_SECONDS
        ]
