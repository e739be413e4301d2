"""Entry of an endpoint in the service list."""

from __future__ import annotations

import dataclasses

UNKNOWN_VERSION = ""
"""Software version of an endpoint that names none; no other is known to equal it."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint of a service; ``address`` is ``IP:port``."""

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    software_version: str = UNKNOWN_VERSION
    """Version of its software, which is not that of the weights it has loaded."""
    started_at_ms: int = 0
    """Unix time of its start in milliseconds; differs between instances of one id."""
    number: int = dataclasses.field(default=0, compare=False)
    """Number that the endpoint gave the entry; grows with each write."""
    cold_remaining: float | None = dataclasses.field(default=0.0, compare=False)
    """Seconds from the writing for which it stays cold, None if that can't be read."""
