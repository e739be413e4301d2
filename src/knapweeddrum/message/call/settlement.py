"""What the runs of a request consumed."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.fact.charge import Charge


class Settlement(msgspec.Struct, frozen=True):
    """What a router has a keeper charge to grants; the keeper appends it as a Bill.

    The fields are those of the fact Bill, which explains them.
    """

    request_key: str
    run_id: str
    budget: str
    grant_id: str
    tokens: int
    outcome: str
    settler: str = ""
    further: tuple[Charge, ...] = ()
    abandoned: int = 0
