"""Adapter between structlog and the bounded writer."""

from __future__ import annotations

from knapweeddrum.telemetry.bounded_writer import BoundedWriter


class LineLogger:
    """structlog logger that passes each rendered line to a BoundedWriter."""

    def __init__(self, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, message: str) -> None:
        """Write one line."""
        self._writer.write(message)

    debug = info = warning = error = critical = msg
