"""A validated request for a plain service."""

from __future__ import annotations

import dataclasses

from knapweeddrum.endpoint.service_request import ServiceRequest
from knapweeddrum.message.resource.route import Route
from knapweeddrum.value.identifiers import ClaimKey, OrganisationName, RouteName
from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceJob:
    """``deadline`` is in monotonic seconds; ``claim_key`` is empty without a claim."""

    organisation: OrganisationName
    weight: int
    route_name: RouteName
    route: Route
    request: ServiceRequest
    fingerprint: str
    priority: Priority
    deadline: float
    repeatable: bool
    claim_key: ClaimKey
