"""What a control process is given by the composition root."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import anyio

from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.rpc_caller import RpcCaller
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics


@dataclasses.dataclass(frozen=True, slots=True)
class ControlParts:
    """Collaborators of a control process.

    ``caller`` reaches any keeper, ``channels`` a given one; ``incarnation`` names this
    life of the process, ``stopping`` ends it, and the clock is in monotonic seconds.
    """

    settings: Settings
    caller: RpcCaller
    channels: PeerChannels
    incarnation: str
    events: EventLog
    metrics: Metrics
    clock: Callable[[], float]
    stopping: anyio.Event
