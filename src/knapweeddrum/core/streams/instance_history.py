"""What a host knows of the starts of the listed endpoints."""

from __future__ import annotations

from collections.abc import Container, Iterable

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.value.identifiers import EndpointName


class InstanceHistory:
    """Knows when each instance of an endpoint was certainly running.

    A connection that was opened before that time and still is leads to that instance,
    as a restart ends all connections. What is known of an instance is forgotten with
    the first list that lacks it. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._running_at: dict[EndpointName, float] = {}
        self._ended: set[EndpointName] = set()
        self._hides_start: set[EndpointName] = set()
        self._read_at = float("-inf")

    def observe(
        self, entries: Iterable[EndpointEntry], written: Container[str], read_at: float
    ) -> None:
        """Record the complete list of endpoints, asked for at ``read_at``.

        ``written`` are the ids of those that wrote their entry since the last call,
        which was after the last list was asked for.
        """
        running_at = {}
        for entry in entries:
            instance = instance_name(entry)
            running_at[instance] = self.running_at(instance)
            if entry.endpoint_id in written:
                running_at[instance] = max(running_at[instance], self._read_at)
        self._running_at = running_at
        self._ended &= running_at.keys()
        self._hides_start &= running_at.keys()
        self._read_at = read_at

    def running_at(self, instance: EndpointName) -> float:
        """Return the latest time at which an instance is known to have been running."""
        return self._running_at.get(instance, float("-inf"))

    def record_running(self, instance: EndpointName, at: float) -> None:
        """Record that an instance was running at a time."""
        self._running_at[instance] = max(self.running_at(instance), at)

    def record_ended(self, instance: EndpointName) -> None:
        """Record that a later start answers for an instance."""
        self._ended.add(instance)

    def has_ended(self, instance: EndpointName) -> bool:
        """Return whether a later start is known to answer for an instance."""
        return instance in self._ended

    def record_hidden_start(self, instance: EndpointName) -> None:
        """Record that an instance doesn't tell when it started."""
        self._hides_start.add(instance)

    def hides_start(self, instance: EndpointName) -> bool:
        """Return whether an instance is known not to tell when it started."""
        return instance in self._hides_start
