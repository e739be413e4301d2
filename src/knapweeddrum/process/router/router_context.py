"""Settings, clients and clocks that a router process works with."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from knapweeddrum.process.router.endpoint_clients import EndpointClients
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.identifiers import Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class RouterContext:
    """``clock`` returns monotonic seconds, ``wall_clock`` Unix seconds."""

    settings: Settings
    keeper: RpcCaller
    clients: EndpointClients
    events: EventLog
    metrics: Metrics
    rng: random.Random
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    incarnation: Incarnation

    def new_id(self) -> str:
        """Return a new identifier of 96 random bits in hexadecimal."""
        return f"{self.rng.getrandbits(96):024x}"
