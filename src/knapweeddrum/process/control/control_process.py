"""The control process of one entry host."""

from __future__ import annotations

import anyio

from knapweeddrum.process.control.change_submitter import ChangeSubmitter
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.control_app import ControlApp
from knapweeddrum.process.control.control_context import ControlContext
from knapweeddrum.process.control.control_paths import control_paths
from knapweeddrum.process.control.control_server import ControlServer, control_server
from knapweeddrum.process.control.exceptions import ControlError
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.operator_guard import OperatorGuard
from knapweeddrum.telemetry.build_id import build_id
from knapweeddrum.telemetry.events import PROCESS_STARTED, PROCESS_STOPPED

BINARY = "knapweed-control"


class ControlProcess:
    """Follows the configuration and serves the resource API to operators."""

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        control = context.settings.control
        self._keeper = KeeperClient(
            context.caller, context.incarnation, control.keeper_timeout_seconds
        )
        self.follower = ConfigFollower(self._keeper, context.events)
        self._submitter = ChangeSubmitter(self._keeper, self.follower)
        self.app = ControlApp(
            control_paths(
                self._keeper,
                self.follower,
                self._submitter,
                context.channels,
                context.stopping,
                control.watch_limit,
            ),
            OperatorGuard(control.operator_key_digest),
            control.body_limit_bytes,
            context.events,
            context.metrics,
        )

    async def run(self) -> None:
        """Run until ``stopping`` is set, then finish the requests in progress."""
        context = self._context
        host = context.settings.host
        server = control_server(
            self.app,
            str(host.address),
            host.control_port,
            context.settings.control.stop_limit_seconds,
        )
        context.events.emit(
            PROCESS_STARTED, binary=BINARY, host=host.name, build=build_id()
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self.follower.run)
            group.start_soon(self._stop_server, server)
            await self._serve(server)
            group.cancel_scope.cancel()
        context.events.emit(PROCESS_STOPPED, binary=BINARY)

    async def _serve(self, server: ControlServer) -> None:
        """Serve until the server stops; raises ControlError when it can't listen."""
        try:
            await server.serve()
        except SystemExit as exc:
            host = self._context.settings.host
            where = f"{host.address}:{host.control_port}"
            raise ControlError(f"can't listen on {where}") from exc

    async def _stop_server(self, server: ControlServer) -> None:
        await self._context.stopping.wait()
        server.should_exit = True
