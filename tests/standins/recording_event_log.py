from __future__ import annotations

from knapweeddrum.telemetry.event import Event
from knapweeddrum.telemetry.event_log import EventLog


class RecordingEventLog(EventLog):
    """Records the names of events instead of writing log lines."""

    def __init__(self) -> None:
        super().__init__("error")
        self.names: list[str] = []

    def emit(self, event: Event, **fields: object) -> None:
        assert set(fields) == set(event.fields)
        self.names.append(event.name)
