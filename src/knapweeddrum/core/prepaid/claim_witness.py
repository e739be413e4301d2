"""What a host, as their witness, has unlocked of other hosts' claims."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from knapweeddrum.core.budget.grant_witness import GrantWitness
from knapweeddrum.core.budget.unlock_verdict import UnlockVerdict
from knapweeddrum.core.prepaid.claim_check_in import KnownConsent
from knapweeddrum.core.prepaid.token_claim import TokenClaim


class ClaimWitness:
    """Unlocks claims of other hosts, and releases the locked rest once a holder failed.

    A release is safe even if the holder is only cut off or paused: the holder keeps
    what was unlocked and can unlock no more. The unlocked limits are kept in memory
    only, so the next incarnation of this host releases none of these claims.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._grant_witness = GrantWitness(incarnation)
        self._released: dict[str, set[str]] = {}
        self._stopped_releasing = False
        self._holders: set[str] = set()

    @property
    def holders(self) -> frozenset[str]:
        """Return the holders that have asked this witness for its consent."""
        return frozenset(self._holders)

    def unlock(self, holder: str, organisation: str, limit: int) -> bool:
        """Let a holder spend up to a limit in tokens, unless its claim was released."""
        self._holders.add(holder)
        grant_id = self._register(holder, organisation)
        return (
            self._grant_witness.unlock(grant_id, holder, limit) is UnlockVerdict.ALLOWED
        )

    def consents(self) -> Iterator[KnownConsent]:
        """Return the limits up to which holders may spend."""
        for grant in self._grant_witness.unlocked_limits():
            if grant.unlocked_limit:
                yield KnownConsent(grant.budget, grant.holder, grant.unlocked_limit)

    def stop_releasing(self) -> None:
        """Release nothing from now on."""
        self._stopped_releasing = True

    def released_organisations(self, holder: str) -> list[str]:
        """Return the organisations for which this witness released a holder's claim."""
        return sorted(self._released.get(holder, ()))

    def release(self, claim: TokenClaim) -> TokenClaim | None:
        """Return the reduced claim of a failed holder, None if the claim stays."""
        if self._stopped_releasing or claim.witness != self._incarnation:
            return None
        grant_id = self._register(claim.incarnation, claim.organisation)
        self._released.setdefault(claim.incarnation, set()).add(claim.organisation)
        release = self._grant_witness.close(grant_id)
        if release is None:
            return None
        unlocked = min(claim.claimed, max(claim.unlocked, release.opened))
        return dataclasses.replace(
            claim, claimed=unlocked, committed=unlocked, unlocked=unlocked
        )

    def _register(self, holder: str, organisation: str) -> str:
        """Register a claim as a grant, and return the identifier of that grant."""
        grant_id = f"{organisation}|{holder}"
        self._grant_witness.register(grant_id, organisation, holder)
        return grant_id
