"""Release of a failed holder's locked grant tokens by its witness."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class GrantRelease(Fact, frozen=True, tag="grant_release"):
    """Frees the tokens of a grant above the unlocked limit ``opened``.

    The witness has unlocked ``opened`` tokens in all and will unlock no more.
    """

    grant_id: str
    budget: str
    witness: str
    opened: int
