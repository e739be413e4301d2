"""Claim of one process on an organisation's prepaid tokens."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TokenClaim:
    """Prepaid tokens of an organisation that are set aside for one incarnation.

    The incarnation may spend up to ``unlocked`` on its own. The rest of ``claimed`` is
    locked: spending it needs the consent of the witness, another process, which
    releases that rest once this incarnation has failed. Without a witness all of the
    claim is unlocked.
    """

    organisation: str
    incarnation: str
    claimed: int
    committed: int
    """Tokens spent, reserved or lent when the claim was written, less those borrowed.

    After a release, all tokens that stay claimed count as committed.
    """
    unlocked: int
    witness: str = ""
    """Incarnation of another host, empty for none."""
