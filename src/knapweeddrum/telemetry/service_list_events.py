"""Log events of the entry process that tell what becomes of listed endpoints."""

from __future__ import annotations

from knapweeddrum.telemetry.event import Event

JUDGEMENT_FIELDS = (
    "rule",
    "known_entry",
    "known_started_at_ms",
    "known_ms",
    "was_removed",
    "read_ms",
)
"""Why an entry of an endpoint counts, or not, and what it was compared with."""

ENDPOINT_LISTED = Event(
    612,
    "endpoint_listed",
    "info",
    (
        "endpoint",
        "service",
        "address",
        "software_version",
        "draining",
        "started_at_ms",
        "entry",
        "offset",
        *JUDGEMENT_FIELDS,
    ),
)
ENDPOINT_UNLISTED = Event(
    613, "endpoint_unlisted", "info", ("endpoint", "lapsed", "offset")
)
ENDPOINT_KEPT = Event(
    699, "endpoint_kept", "warning", ("endpoint", "offset", "known_ms", "read_ms")
)
ENTRY_OUTDATED = Event(
    698,
    "entry_outdated",
    "warning",
    (
        "endpoint",
        "address",
        "started_at_ms",
        "entry",
        "offset",
        "listed",
        *JUDGEMENT_FIELDS,
    ),
)
