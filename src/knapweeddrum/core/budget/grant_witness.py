"""The witness's decisions on unlocking and releasing grants."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.core.budget.unlock_verdict import UnlockVerdict
from knapweeddrum.core.budget.witnessed_grant import WitnessedGrant
from knapweeddrum.message.fact.grant_release import GrantRelease


class GrantWitness:
    """Unlocks grants for their holders until it closes them.

    A holder may spend only tokens that its witness has acknowledged as unlocked. A
    closed grant is unlocked no further, so all tokens above its unlocked limit can be
    released, whether the holder has failed, is paused or is cut off. The unlocked
    limits are kept in memory only: another incarnation doesn't know them and can't
    release the grants.
    """

    def __init__(self, witness: str) -> None:
        """``witness`` is this keeper's incarnation, which the grants name."""
        self._witness = witness
        self._grants: dict[str, WitnessedGrant] = {}

    def register(self, grant_id: str, budget: str, holder: str) -> None:
        """Record a grant read from the log that names this witness."""
        if grant_id not in self._grants:
            self._grants[grant_id] = WitnessedGrant(budget=budget, holder=holder)

    def forget(self, grant_id: str) -> None:
        """Remove a grant without tokens; requests to unlock it get UNKNOWN."""
        self._grants.pop(grant_id, None)

    def unlock(self, grant_id: str, holder: str, limit: int) -> UnlockVerdict:
        """Unlock the first ``limit`` tokens of a grant for its holder.

        A limit that was unlocked before is allowed again, as the holder repeats its
        request after a lost reply.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            return UnlockVerdict.UNKNOWN
        if grant.holder != holder:
            return UnlockVerdict.CLOSED
        if limit <= grant.unlocked_limit:
            return UnlockVerdict.ALLOWED
        if grant.closed:
            return UnlockVerdict.CLOSED
        grant.unlocked_limit = limit
        return UnlockVerdict.ALLOWED

    def close(self, grant_id: str) -> GrantRelease | None:
        """Close a grant for good and return the fact that frees its locked tokens.

        None for an unknown grant. Closing a grant again returns the same fact.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            return None
        grant.closed = True
        return GrantRelease(
            grant_id=grant_id,
            budget=grant.budget,
            witness=self._witness,
            opened=grant.unlocked_limit,
        )

    def unlocked_limits(self) -> Iterator[WitnessedGrant]:
        """Return all registered grants with their unlocked limits."""
        return iter(self._grants.values())

    def grants_of(self, holder: str) -> tuple[str, ...]:
        """Return the grants of a holder that are not closed, sorted."""
        return tuple(
            sorted(
                grant_id
                for grant_id, grant in self._grants.items()
                if grant.holder == holder and not grant.closed
            )
        )
