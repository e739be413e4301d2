"""Structured logging of the numbered events."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from knapweeddrum.telemetry.event import Event
from knapweeddrum.telemetry.line_logger import LineLogger


class EventLog:
    """Writes events as JSON lines, to standard error unless ``logger`` is given.

    Events below ``level`` are dropped. Each line has the ``bound`` fields.
    """

    def __init__(
        self, level: str = "info", logger: LineLogger | None = None, **bound: object
    ) -> None:
        threshold = logging.getLevelNamesMapping()[level.upper()]
        self._log: Any = structlog.wrap_logger(
            logger or structlog.PrintLogger(sys.stderr),
            processors=[
                structlog.processors.TimeStamper(fmt="iso"),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(threshold),
        ).bind(**bound)

    def emit(self, event: Event, **fields: object) -> None:
        """Write one event.

        Raises ValueError unless ``fields`` are exactly those that the event declares.
        """
        if set(fields) != set(event.fields):
            raise ValueError(f"event {event.name} takes {event.fields}")
        write = getattr(self._log, event.level)
        write(event.name, number=event.number, level=event.level, **fields)
