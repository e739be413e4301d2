"""One structured line of a process's log."""

from __future__ import annotations

import dataclasses
import json

HIDDEN_FIELDS = frozenset(
    {"timestamp", "event", "request", "level", "number", "incarnation"}
)
"""Fields left out of the details: shown in their own columns, or not needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Timestamp, writing process and event name, and all fields of the line."""

    timestamp: str
    incarnation: str
    event: str
    fields: dict[str, object]

    @classmethod
    def parse(cls, text: str) -> LogLine | None:
        """Return the log line in ``text``, a JSON object; None if there is none.

        A log collector may have added a prefix before the object.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            fields = json.loads(text[start:])
        except (ValueError, RecursionError):
            return None
        if not isinstance(fields, dict) or "event" not in fields:
            return None
        return cls(
            timestamp=str(fields.get("timestamp", "")),
            incarnation=str(fields.get("incarnation", "")),
            event=str(fields["event"]),
            fields=fields,
        )

    @property
    def host(self) -> str:
        """Return the host whose process wrote the line."""
        return self.incarnation.partition("/")[0]

    def is_about(self, request_id: str) -> bool:
        """Return whether the line is about a request."""
        return self.fields.get("request") == request_id

    def details(self) -> str:
        """Return the fields that are neither hidden nor empty, as ``name=value``."""
        return " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and value not in ("", None)
        )
