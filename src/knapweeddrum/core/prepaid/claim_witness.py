"""What a host has opened for others, as their witness."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.open_verdict import OpenVerdict
from knapweeddrum.core.budget.witness_book import WitnessBook
from knapweeddrum.core.prepaid.token_claim import TokenClaim


class ClaimWitness:
    """Opens the claims of other hosts, and frees the rest of one that is gone.

    Freeing is safe whatever the holder does, as it can open no more: a holder that is
    only cut off or paused keeps what was opened. Marks live as long as this process;
    its successor frees nothing.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._grant_witness = WitnessBook(incarnation)
        self._released: dict[str, set[str]] = {}
        self._stopped_releasing = False

    def unlock(self, holder: str, organisation: str, limit: int) -> bool:
        """Let a holder spend up to a mark (tokens), unless its claim was freed."""
        grant_id = self._register(holder, organisation)
        return self._grant_witness.open(grant_id, holder, limit) is OpenVerdict.ALLOWED

    def stop_releasing(self) -> None:
        """Free nothing any more."""
        self._stopped_releasing = True

    def released_organisations(self, holder: str) -> list[str]:
        """Return the organisations of which a holder's claim was freed."""
        return sorted(self._released.get(holder, ()))

    def release(self, claim: TokenClaim) -> TokenClaim | None:
        """Return what stays of the claim of a holder that is gone, None if all does."""
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
        grant_id = f"{organisation}|{holder}"
        self._grant_witness.register(grant_id, organisation, holder)
        return grant_id
