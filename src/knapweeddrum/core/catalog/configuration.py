"""One version of the operators' configuration."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.organisation import Organisation
from knapweeddrum.core.catalog.route import Route
from knapweeddrum.core.catalog.service import Service


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that one version declares, indexed for the lookups of requests."""

    version: int
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    limits: CallerLimits
    _routes: dict[str, dict[str, Route]]
    """Routes by host name and path prefix."""
    _organisations_by_key: dict[str, Organisation]

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        organisations: Iterable[Organisation],
        limits: CallerLimits,
    ) -> Configuration:
        """Index the declared resources."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_host.setdefault(route.host_name, {})[route.path_prefix] = route
        declared = {organisation.name: organisation for organisation in organisations}
        return cls(
            version=version,
            services={service.name: service for service in services},
            organisations=declared,
            limits=limits,
            _routes=by_host,
            _organisations_by_key={
                key: organisation
                for organisation in declared.values()
                for key in organisation.api_keys
            },
        )

    def find_route(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; prefixes end in /."""
        routes = self._routes.get(host_name)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, api_key: str) -> Organisation | None:
        """Return the organisation that holds an API key."""
        return self._organisations_by_key.get(api_key)

    @property
    def ramps(self) -> dict[str, ColdRamp]:
        """Return the ramps of the services that have one."""
        return {
            name: service.ramp
            for name, service in self.services.items()
            if service.ramp is not None
        }

    @property
    def requires_api_key(self) -> bool:
        """Return whether requests need an API key, as organisations are declared."""
        return bool(self.organisations)

    @property
    def route_count(self) -> int:
        """Return the number of routes."""
        return sum(len(routes) for routes in self._routes.values())
