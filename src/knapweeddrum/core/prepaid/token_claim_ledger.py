"""State rebuilt from the log of claims on prepaid tokens."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.value.store_position import offset_of


class TokenClaimLedger:
    """The newest claim of each incarnation on each organisation's tokens.

    A claim is written only on condition that the log ends at ``end``, up to which the
    writer has read it, so no two writers can claim the same tokens.
    """

    def __init__(self) -> None:
        self.end = 0
        """Offset before which all records are applied."""
        self._claims: dict[str, dict[str, tuple[int, TokenClaim]]] = {}
        self._claimed: collections.Counter[str] = collections.Counter()
        self._committed: collections.Counter[str] = collections.Counter()

    def apply(self, offset: int, claim: TokenClaim) -> None:
        """Apply one claim; a record older than the one known is ignored."""
        claims = self._claims.setdefault(claim.organisation, {})
        known = claims.get(claim.incarnation)
        if known is not None:
            if known[0] >= offset:
                return
            self._claimed[claim.organisation] -= known[1].claimed
            self._committed[claim.organisation] -= known[1].committed
        claims[claim.incarnation] = (offset, claim)
        self._claimed[claim.organisation] += claim.claimed
        self._committed[claim.organisation] += claim.committed

    def advance(self, end: int) -> None:
        """Record that all records before ``end`` are applied."""
        self.end = max(self.end, end)

    def claimed(self, organisation: str) -> int:
        """Return the tokens that all incarnations have claimed together."""
        return self._claimed[organisation]

    def committed(self, organisation: str) -> int:
        """Return the tokens that all incarnations reported as spent or reserved."""
        return self._committed[organisation]

    def claim_of(self, organisation: str, incarnation: str) -> TokenClaim | None:
        """Return the claim of one incarnation, None if it has none."""
        known = self._claims.get(organisation, {}).get(incarnation)
        return known[1] if known is not None else None

    def claimed_by(self, organisation: str, incarnation: str) -> int:
        """Return the tokens that one incarnation has claimed."""
        claim = self.claim_of(organisation, incarnation)
        return claim.claimed if claim is not None else 0

    def offset(self, organisation: str, incarnation: str) -> int:
        """Return the offset of an incarnation's claim, -1 if it has none."""
        known = self._claims.get(organisation, {}).get(incarnation)
        return offset_of(known[0]) if known is not None else -1

    def all_claims(self) -> Iterator[tuple[int, TokenClaim]]:
        """Return all claims with their positions."""
        for claims in self._claims.values():
            yield from claims.values()

    def holders_by_free_tokens(self, organisation: str) -> list[str]:
        """Return the incarnations that had free tokens when they wrote, most first."""
        claims = [
            claim for claim in self._claims_of(organisation) if _free_tokens(claim) > 0
        ]
        ranked = sorted(
            claims, key=lambda claim: (-_free_tokens(claim), claim.incarnation)
        )
        return [claim.incarnation for claim in ranked]

    def locked_claims_of(self, witness: str) -> list[TokenClaim]:
        """Return the claims with locked tokens that name this witness."""
        return [
            claim
            for claims in self._claims.values()
            for _, claim in claims.values()
            if claim.witness == witness and claim.unlocked < claim.claimed
        ]

    def _claims_of(self, organisation: str) -> list[TokenClaim]:
        return [claim for _, claim in self._claims.get(organisation, {}).values()]


def _free_tokens(claim: TokenClaim) -> int:
    return claim.claimed - claim.committed
