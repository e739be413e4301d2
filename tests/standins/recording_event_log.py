from __future__ import annotations

from knapweeddrum.telemetry.event import Event
from knapweeddrum.telemetry.event_log import EventLog


class RecordingEventLog(EventLog):
    """Records events instead of writing log lines."""

    def __init__(self) -> None:
        super().__init__("error")
        self.names: list[str] = []
        self._fields: list[dict[str, object]] = []

    def emit(self, event: Event, **fields: object) -> None:
        assert set(fields) == set(event.fields)
        self.names.append(event.name)
        self._fields.append(fields)

    def fields_of(self, name: str) -> list[dict[str, object]]:
        """Return the fields of each event of a name."""
        lines = zip(self.names, self._fields, strict=True)
        return [fields for found, fields in lines if found == name]
