"""A validated request for a model route."""

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
    """``deadline`` is in monotonic seconds, limits and bounds are in tokens.

    ``claim_key`` is empty for a request without a claim. ``fingerprint`` is a digest
    of model, budget, claim key and body, ``prompt_digest`` of model and messages
    alone; ``prefixes`` has the digests of the prompt's prefixes, the longest first.
    ``id_from_caller`` is set when the caller chose the request identifier, so that it
    may have sent the request to another router before.
    """

    request_key: RequestKey
    organisation: OrganisationName
    weight: int
    budget: BudgetName
    route_name: RouteName
    route: Route
    body: bytes
    fingerprint: str
    prompt_digest: str
    prefixes: tuple[str, ...]
    output_limit: int
    prompt_bound: int
    priority: Priority
    deadline: float
    repeatable: bool
    claim_key: ClaimKey
    id_from_caller: bool

    @property
    def worst_case(self) -> int:
        """Return the maximum of tokens that one run may consume."""
        return self.prompt_bound + self.output_limit
