"""Claims of the earlier incarnations of this host."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.message.call.spending_record import MachineTime, SpendingRecord


class PredecessorClaims:
    """Gives back what earlier incarnations of this host can't have spent.

    An incarnation keeps to the limits that it has written. They grow with time, so that
    the machine's clocks tell how much it can have spent at most by a time at which it
    has ended, whoever else was killed with it. A record without a common clock, or of
    another era of the store, proves nothing.
    """

    def __init__(self, host_name: str, incarnation: str) -> None:
        self._host_name = host_name
        self._incarnation = incarnation
        self._limits: dict[tuple[str, str], int] = {}
        """Most that was spent, by organisation and incarnation."""
        self.incarnations: frozenset[str] = frozenset()
        """Earlier incarnations of this host that have a record."""

    def apply(
        self, records: Iterable[SpendingRecord], era: int, now: MachineTime
    ) -> None:
        """Take in the newest record of each incarnation, read in an era.

        By ``now`` the earlier incarnations have ended.
        """
        own = [record for record in records if self._is_predecessor(record.incarnation)]
        self.incarnations = frozenset(record.incarnation for record in own)
        self._limits.clear()
        for record in own:
            seconds = now.seconds_since(record.at)
            if seconds is None or record.era != era:
                continue
            for limit in record.limits:
                key = (limit.organisation, record.incarnation)
                self._limits[key] = limit.after(seconds) + 1

    def releases(self, ledger: TokenClaimLedger) -> list[TokenClaim]:
        """Return what remains of each claim that is larger than what was spent."""
        claims = []
        for (organisation, incarnation), limit in sorted(self._limits.items()):
            claim = ledger.claim_of(organisation, incarnation)
            if claim is None:
                continue
            spent = max(limit, claim.committed)
            if spent < claim.claimed:
                claims.append(_reduced(claim, spent))
        return claims

    def settled(self, ledger: TokenClaimLedger) -> list[str]:
        """Return the incarnations of which nothing more can be given back."""
        open_names = {claim.incarnation for claim in self.releases(ledger)}
        return sorted(self.incarnations - open_names)

    def forget(self, incarnations: Iterable[str]) -> None:
        """Forget incarnations whose records are removed."""
        gone = frozenset(incarnations)
        self.incarnations -= gone
        self._limits = {
            key: limit for key, limit in self._limits.items() if key[1] not in gone
        }

    def _is_predecessor(self, incarnation: str) -> bool:
        host_name = incarnation.partition("/")[0]
        return host_name == self._host_name and incarnation != self._incarnation


def _reduced(claim: TokenClaim, spent: int) -> TokenClaim:
    return dataclasses.replace(
        claim, claimed=spent, committed=spent, unlocked=spent, witness=""
    )
