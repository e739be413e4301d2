"""What a host tells of the claims after the store came back from an older copy."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.value.documents import Count, Position, SignedCount


class KnownClaim(msgspec.Struct, frozen=True):
    """A claim as a host read it at a position of the stream."""

    position: Position
    organisation: str
    incarnation: str
    claimed: Count
    committed: Count
    unlocked: Count
    witness: str

    @classmethod
    def of(cls, position: int, claim: TokenClaim) -> KnownClaim:
        """Return a claim with the position at which it was read."""
        return cls(
            position,
            claim.organisation,
            claim.incarnation,
            claim.claimed,
            claim.committed,
            claim.unlocked,
            claim.witness,
        )

    def to_claim(self) -> TokenClaim:
        """Return the claim without its position."""
        return TokenClaim(
            self.organisation,
            self.incarnation,
            self.claimed,
            self.committed,
            self.unlocked,
            self.witness,
        )


class KnownConsent(msgspec.Struct, frozen=True):
    """A witness lets ``holder`` spend up to ``limit`` tokens of an organisation."""

    organisation: str
    holder: str
    limit: Count


class ClaimCheckIn(msgspec.Struct, frozen=True):
    """A host's knowledge, written once for each era of the store that it lived to see.

    ``complete_era`` is the newest era in which it knew all claims.
    """

    incarnation: str
    era: Count
    complete_era: SignedCount
    stream_end: Position
    """Position before which it had read the claims when the store returned."""
    is_fresh: bool
    """Whether it had read the others' heartbeats shortly before."""
    running: tuple[str, ...] = ()
    """Other incarnations that ran then and that no earlier check-in names."""
    claims: tuple[KnownClaim, ...] = ()
    """Its own claims, and those of others that the stream lacks."""
    consents: tuple[KnownConsent, ...] = ()
    """What it has unlocked, as their witness, beyond the claims in the stream."""
    has_left: bool = False
    """Whether it only says that it writes no further claims."""
