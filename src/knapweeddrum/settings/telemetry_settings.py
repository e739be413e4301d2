"""Settings of logs and counters."""

from __future__ import annotations

from typing import Literal

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class TelemetrySettings(StrictModel):
    """Log level, and the statsd server that counters go to, if any."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    statsd_address: pydantic.IPvAnyAddress | None = None
    statsd_port: int = pydantic.Field(default=8125, ge=1, le=65535)

    def statsd_host(self) -> str:
        """Return the IP address of the statsd server, empty for none."""
        return str(self.statsd_address) if self.statsd_address else ""
