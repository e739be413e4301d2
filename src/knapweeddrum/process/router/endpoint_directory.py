"""The configured endpoints with their clients and health."""

from __future__ import annotations

import contextlib
from collections.abc import Collection

from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.endpoint_table import EndpointTable
from knapweeddrum.core.routing.prefix_index import PrefixIndex
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.retry_budget import RetryBudget
from knapweeddrum.core.routing.retry_policy import RetryPolicy
from knapweeddrum.core.routing.sampled_load import SampledLoad
from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.plain_service import PlainService
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.identifiers import DataCentre, EndpointName
from knapweeddrum.value.refusal_reason import RefusalReason

NO_ENDPOINT_RETRY_AFTER_SECONDS = 2.0


class EndpointDirectory:
    """Chooses endpoints and holds a client for each.

    A client is kept after its endpoint was removed from the configuration, because
    runs there may still have to be cancelled and their usage collected.
    """

    def __init__(self, context: RouterContext) -> None:
        self.table = EndpointTable()
        self._context = context
        self.prefixes = PrefixIndex()
        self._policy = SampledLoad(context.rng, self.prefixes)
        self._endpoints: dict[EndpointName, Endpoint] = {}
        self._clients: dict[EndpointName, ModelEngine | PlainService] = {}
        self._retry_policies: dict[str, RetryPolicy] = {}
        self._client_stack = contextlib.AsyncExitStack()

    async def configure(self, endpoints: dict[str, Endpoint]) -> None:
        """Apply the endpoints of a new configuration."""
        now = self._context.clock()
        for name in [known for known in self._endpoints if known not in endpoints]:
            self.table.remove(name)
            self.prefixes.forget(name)
            del self._endpoints[name]
        for plain_name, endpoint in endpoints.items():
            await self._configure_one(EndpointName(plain_name), endpoint, now)

    def names(self) -> tuple[EndpointName, ...]:
        """Return the names of the configured endpoints."""
        return tuple(self._endpoints)

    def choose(
        self,
        route: Route,
        features: RequestFeatures,
        repeatable: bool,
        exclude: Collection[EndpointName] = (),
    ) -> EndpointName:
        """Return the endpoint for an attempt.

        Raises RefusedError if none is available or all are full.
        """
        now = self._context.clock()
        names = [EndpointName(name) for name in route.endpoints]
        candidates = self.table.candidates(names, now, idempotent=repeatable)
        candidates = tuple(v for v in candidates if self._has_kind(v.name, route.kind))
        chosen = self._policy.choose(candidates, features, now, exclude)
        if chosen is not None:
            self.prefixes.routed(chosen, features.prefixes, now)
            return chosen
        if candidates and not exclude:
            raise refused(
                RefusalReason.OVERLOADED,
                "all endpoints of the route are full",
                NO_ENDPOINT_RETRY_AFTER_SECONDS,
            )
        raise refused(
            RefusalReason.NO_ENDPOINT,
            "no endpoint of the route is available",
            NO_ENDPOINT_RETRY_AFTER_SECONDS,
        )

    def begin(self, name: EndpointName) -> None:
        """Count an attempt that is sent to an endpoint."""
        if name in self._endpoints:
            self.table.begin(name, self._context.clock())

    def finish(
        self, name: EndpointName, result: AttemptResult, started_at: float
    ) -> None:
        """Count the end of an attempt; ``started_at`` is in monotonic seconds."""
        self.table.finish(name, result, started_at, self._context.clock())

    def engine(self, name: EndpointName) -> ModelEngine | None:
        """Return the client of a model engine, None for an unknown one."""
        client = self._clients.get(name)
        return client if isinstance(client, ModelEngine) else None

    def service(self, name: EndpointName) -> PlainService | None:
        """Return the client of a plain service, None for an unknown one."""
        client = self._clients.get(name)
        return client if isinstance(client, PlainService) else None

    def retry_policy(self, route_name: str) -> RetryPolicy:
        """Return the retry policy that all requests of a route share."""
        policy = self._retry_policies.get(route_name)
        if policy is None:
            budget = RetryBudget(self._context.clock())
            policy = RetryPolicy(self._context.rng, budget)
            self._retry_policies[route_name] = policy
        return policy

    async def close(self) -> None:
        """Close all clients."""
        self._clients.clear()
        await self._client_stack.aclose()

    async def _configure_one(
        self, name: EndpointName, endpoint: Endpoint, now: float
    ) -> None:
        """Add or change one endpoint; a changed address or kind needs a new client."""
        before = self._endpoints.get(name)
        if before is None or not _same_target(before, endpoint):
            await self._replace_client(name, endpoint)
        self._endpoints[name] = endpoint
        self.table.configure(
            name,
            endpoint.slots,
            now,
            DataCentre(endpoint.data_centre),
            endpoint.leaving,
        )

    async def _replace_client(self, name: EndpointName, endpoint: Endpoint) -> None:
        """Create a client; the one that it replaces stays open for runs in progress."""
        clients = self._context.clients
        if endpoint.kind is EndpointKind.MODEL_ENGINE:
            engine = clients.engine(endpoint.address)
            self._clients[name] = await self._client_stack.enter_async_context(engine)
        else:
            service = clients.service(endpoint.address)
            self._clients[name] = await self._client_stack.enter_async_context(service)

    def _has_kind(self, name: EndpointName, kind: EndpointKind) -> bool:
        endpoint = self._endpoints.get(name)
        return endpoint is not None and endpoint.kind is kind


def _same_target(before: Endpoint, after: Endpoint) -> bool:
    """Return whether the client of one endpoint can be kept for the other."""
    return before.kind is after.kind and before.address == after.address
