"""Dependencies of a control process, which the composition root creates."""

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
class ControlContext:
    """Settings, connections and telemetry of a control process.

    ``caller`` calls any available keeper, ``channels`` the keeper of a certain host.
    ``incarnation`` identifies this start of the process, ``stopping`` is set to stop
    it, and ``clock`` returns monotonic seconds.
    """

    settings: Settings
    caller: RpcCaller
    channels: PeerChannels
    incarnation: str
    events: EventLog
    metrics: Metrics
    clock: Callable[[], float]
    stopping: anyio.Event
