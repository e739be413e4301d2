"""States of all listed endpoints."""

from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.value.identifiers import EndpointName


class EndpointStates:
    """Keeps one state for each instance of each listed endpoint.

    An endpoint that restarts or changes its address is a new instance.
    """

    def __init__(self, listed: ServiceList) -> None:
        self._listed = listed
        self._states: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self._version = -1

    def find(self, name: EndpointName) -> EndpointState | None:
        """Return the state of one start of an endpoint, None if it is not listed."""
        self._refresh()
        state = self._states.get(name.rsplit("/", 2)[0])
        if state is None or instance_name(state.entry) != name:
            return None
        return state

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the states of a service's endpoints that don't leave, by id."""
        self._refresh()
        return [
            state
            for state in self._by_service.get(service, [])
            if state.notices.leaving_since is None
        ]

    def of_version(self, service: str, version: str) -> list[EndpointState]:
        """Return the states of a service's endpoints of a software version, by id.

        Those that drain are included. None has an unknown version.
        """
        if version == UNKNOWN_VERSION:
            return []
        return [
            state
            for state in self.all()
            if state.entry.service == service
            and state.entry.software_version == version
        ]

    def all(self) -> list[EndpointState]:
        """Return the states of all listed endpoints, by id."""
        self._refresh()
        return [state for _, state in sorted(self._states.items())]

    def connection_keys(self) -> list[str]:
        """Return the connection keys of all endpoints that don't leave."""
        self._refresh()
        return [
            connection_key(state.entry)
            for states in self._by_service.values()
            for state in states
            if state.notices.leaving_since is None
        ]

    def _refresh(self) -> None:
        if self._version == self._listed.version:
            return
        self._version = self._listed.version
        states = {}
        self._by_service = {}
        for entry in self._listed.all():
            state = self._state_for(entry)
            states[entry.endpoint_id] = state
            if not entry.draining:
                self._by_service.setdefault(entry.service, []).append(state)
        self._states = states

    def _state_for(self, entry: EndpointEntry) -> EndpointState:
        known = self._states.get(entry.endpoint_id)
        if known is None or connection_key(known.entry) != connection_key(entry):
            return EndpointState(entry)
        known.entry = entry
        return known


def connection_key(entry: EndpointEntry) -> str:
    """Return a key that differs between two instances of an endpoint."""
    return f"{entry.endpoint_id}/{entry.address}/{entry.started_at_ms}"


def instance_name(entry: EndpointEntry) -> EndpointName:
    """Return the name of one instance of an endpoint, which differs after a restart."""
    return EndpointName(connection_key(entry))
