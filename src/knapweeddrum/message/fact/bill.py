"""The bill of one request."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Bill(Fact, frozen=True, tag="bill"):
    """Tokens consumed by one run of a request, charged to one grant.

    The first bill of a ``request_key`` counts. Another with the same ``run_id`` is a
    repeat and changes nothing. Another with a different ``run_id`` is a duplicate
    execution: its tokens leave the grant unbilled. ``outcome`` is one of
    ``finished``, ``cancelled`` and ``cut``.
    """

    request_key: str
    run_id: str
    budget: str
    grant_id: str
    tokens: int
    outcome: str
