"""The record that an issuer is about to give an order to an engine."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import EndpointName, Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class OrderIssue:
    """``order_id`` names the desired order, ``issuer`` one life of a process.

    ``checks_fence`` says whether the engine refuses old fencing numbers.
    """

    endpoint: EndpointName
    order_id: str
    issuer: Incarnation
    checks_fence: bool
