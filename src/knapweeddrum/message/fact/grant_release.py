"""The unopened part of a silent holder's grant, freed by its witness."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class GrantRelease(Fact, frozen=True, tag="grant_release"):
    """The witness opens no more of the grant: all above ``opened`` tokens is free."""

    grant_id: str
    budget: str
    witness: str
    opened: int
