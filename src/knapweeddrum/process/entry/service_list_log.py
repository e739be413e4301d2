"""Logs why the service list changes, or doesn't."""

from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.service_list_events import (
    ENDPOINT_KEPT,
    ENDPOINT_LISTED,
    ENDPOINT_UNLISTED,
    ENTRY_OUTDATED,
)
from knapweeddrum.value.store_position import offset_of


class ServiceListLog:
    """Logs entries and removals, and what they were compared with.

    ``now`` is when the record was read, in monotonic seconds.
    """

    def __init__(self, service_list: ServiceList, events: EventLog) -> None:
        self._service_list = service_list
        self._events = events

    def log_change(
        self, record: KeyedRecord, entry: EndpointEntry | None, now: float
    ) -> None:
        """Log that an endpoint is listed or changed, or names none any more."""
        if entry is None:
            self.log_removal(record)
            return
        self._events.emit(
            ENDPOINT_LISTED,
            endpoint=record.key,
            service=entry.service,
            address=entry.address,
            software_version=entry.software_version,
            draining=entry.draining,
            started_at_ms=entry.started_at_ms,
            entry=entry.number,
            offset=offset_of(record.offset),
            **self._judgement(now),
        )

    def log_outdated(
        self, record: KeyedRecord, entry: EndpointEntry, now: float
    ) -> None:
        """Log that an entry was left out."""
        self._events.emit(
            ENTRY_OUTDATED,
            endpoint=record.key,
            address=entry.address,
            started_at_ms=entry.started_at_ms,
            entry=entry.number,
            offset=offset_of(record.offset),
            listed=self._service_list.get(record.key) is not None,
            **self._judgement(now),
        )

    def log_removal(self, record: KeyedRecord) -> None:
        """Log that an endpoint is not listed any more."""
        self._events.emit(
            ENDPOINT_UNLISTED,
            endpoint=record.key,
            lapsed=False,
            offset=offset_of(record.offset),
        )

    def log_kept(
        self, record: KeyedRecord, known_for: float | None, now: float
    ) -> None:
        """Log that a removed entry is kept; it was known for so many seconds."""
        self._events.emit(
            ENDPOINT_KEPT,
            endpoint=record.key,
            offset=offset_of(record.offset),
            known_ms=_milliseconds(known_for),
            read_ms=_milliseconds(self._service_list.read_age(now)),
        )

    def log_lapse(self, key: str) -> None:
        """Log that an entry that was kept is dropped."""
        self._events.emit(ENDPOINT_UNLISTED, endpoint=key, lapsed=True, offset=None)

    def _judgement(self, now: float) -> dict[str, object]:
        judgement = self._service_list.last_judgement
        return {
            "rule": judgement.rule.value,
            "known_entry": judgement.known_number,
            "known_started_at_ms": judgement.known_started_at_ms,
            "known_ms": _milliseconds(judgement.known_for),
            "was_removed": judgement.was_removed,
            "read_ms": _milliseconds(self._service_list.read_age(now)),
        }


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
