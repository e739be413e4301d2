"""The witness's record of what the holders of grants have opened."""

from __future__ import annotations

from knapweeddrum.core.budget.open_verdict import OpenVerdict
from knapweeddrum.core.budget.witnessed_grant import WitnessedGrant
from knapweeddrum.message.fact.grant_release import GrantRelease


class WitnessBook:
    """Opens grants for their holders until it closes them.

    A holder may spend only what this witness has acknowledged. A closed grant opens
    no further, so all tokens above its mark are free, whether the holder is dead,
    paused or cut off. The book lives as long as its incarnation: another one has no
    record and can't release.
    """

    def __init__(self, witness: str) -> None:
        """``witness`` is the incarnation that the grants name."""
        self._witness = witness
        self._grants: dict[str, WitnessedGrant] = {}

    def register(self, grant_id: str, budget: str, holder: str) -> None:
        """Take note of a grant read from the log that names this witness."""
        if grant_id not in self._grants:
            self._grants[grant_id] = WitnessedGrant(budget=budget, holder=holder)

    def forget(self, grant_id: str) -> None:
        """Drop a grant without tokens; its identifier opens nothing any more."""
        self._grants.pop(grant_id, None)

    def open(self, grant_id: str, holder: str, upto: int) -> OpenVerdict:
        """Let the holder spend up to the mark ``upto`` (tokens).

        A mark that was opened before is allowed again, for a repeat after a lost
        reply.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            return OpenVerdict.UNKNOWN
        if grant.holder != holder:
            return OpenVerdict.CLOSED
        if upto <= grant.opened:
            return OpenVerdict.ALLOWED
        if grant.closed:
            return OpenVerdict.CLOSED
        grant.opened = upto
        return OpenVerdict.ALLOWED

    def close(self, grant_id: str) -> GrantRelease | None:
        """Close a grant for good and return the fact that frees the rest of it.

        None for a grant that is not known. A repeat returns the same fact.
        """
        grant = self._grants.get(grant_id)
        if grant is None:
            return None
        grant.closed = True
        return GrantRelease(
            grant_id=grant_id,
            budget=grant.budget,
            witness=self._witness,
            opened=grant.opened,
        )

    def grants_of(self, holder: str) -> tuple[str, ...]:
        """Return the grants of a holder that are not closed, sorted."""
        return tuple(
            sorted(
                grant_id
                for grant_id, grant in self._grants.items()
                if grant.holder == holder and not grant.closed
            )
        )
