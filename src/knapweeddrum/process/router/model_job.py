"""A checked request for a model route."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.resource.route import Route
from knapweeddrum.value.identifiers import (
    BudgetName,
    ClaimKey,
    OrganisationName,
    RequestKey,
    RouteName,
)
from knapweeddrum.value.priority import Priority


@dataclasses.dataclass(frozen=True, slots=True)
class ModelJob:
    """``deadline`` is in monotonic seconds, limits are in tokens.

    ``claim_key`` is empty for a request that needs no claim. ``fingerprint`` is a
    digest of what was asked, ``content`` of the prompt alone, ``prefixes`` of its
    prefixes, the longest first. ``locatable`` says that the caller chose the request
    identifier, so that it may have asked another router before.
    """

    request_key: RequestKey
    organisation: OrganisationName
    weight: int
    budget: BudgetName
    route_name: RouteName
    route: Route
    body: bytes
    fingerprint: str
    content: str
    prefixes: tuple[str, ...]
    output_limit: int
    prompt_bound: int
    priority: Priority
    deadline: float
    repeatable: bool
    claim_key: ClaimKey
    locatable: bool

    @property
    def worst_case(self) -> int:
        """Return the most tokens that one run may consume."""
        return self.prompt_bound + self.output_limit
