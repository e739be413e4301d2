"""The control process of one entry host."""

from __future__ import annotations

import anyio

from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.control_app import ControlApp
from knapweeddrum.process.control.control_paths import control_paths
from knapweeddrum.process.control.control_server import ControlServer, control_server
from knapweeddrum.process.control.exceptions import ControlError
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.operator_guard import OperatorGuard
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.caller import Caller
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import PROCESS_STARTED, PROCESS_STOPPED
from knapweeddrum.telemetry.metrics import Metrics

BINARY = "knapweed-control"


class ControlProcess:
    """Serves the resource API until it is told to stop.

    ``caller`` reaches any keeper, ``channels`` a given one; ``incarnation`` names this
    life of the process, and ``stopping`` ends it.
    """

    def __init__(
        self,
        settings: Settings,
        caller: Caller,
        channels: PeerChannels,
        incarnation: str,
        events: EventLog,
        metrics: Metrics,
        stopping: anyio.Event,
    ) -> None:
        self._stopping = stopping
        self._settings = settings
        self._events = events
        control = settings.control
        keeper = KeeperClient(caller, incarnation, control.keeper_timeout_seconds)
        self.follower = ConfigFollower(keeper, events)
        paths = control_paths(
            keeper, self.follower, channels, stopping, control.watch_limit
        )
        self.app = ControlApp(
            paths,
            OperatorGuard(control.operator_key_digest),
            control.body_limit_bytes,
            events,
            metrics,
        )

    async def run(self) -> None:
        """Run until told to stop; requests in progress are finished then."""
        host = self._settings.host
        server = control_server(
            self.app,
            str(host.address),
            host.control_port,
            self._settings.control.stop_limit_seconds,
        )
        self._events.emit(PROCESS_STARTED, binary=BINARY, host=host.name)
        async with anyio.create_task_group() as group:
            group.start_soon(self.follower.run)
            group.start_soon(self._stop_server, server)
            await self._serve(server)
            group.cancel_scope.cancel()
        self._events.emit(PROCESS_STOPPED, binary=BINARY)

    async def _serve(self, server: ControlServer) -> None:
        """Serve until the server stops; raises ControlError when it can't start."""
        try:
            await server.serve()
        except SystemExit as exc:
            host = self._settings.host
            where = f"{host.address}:{host.control_port}"
            raise ControlError(f"can't listen on {where}") from exc

    async def _stop_server(self, server: ControlServer) -> None:
        await self._stopping.wait()
        server.should_exit = True
