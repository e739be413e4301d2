"""Base class of the stand-ins."""

from __future__ import annotations

import abc
from typing import Generic, TypeVar

import anyio.abc
import msgspec

from tests.standins.asgi import Receive, Scope, Send, read_request
from tests.standins.incoming_request import IncomingRequest
from tests.standins.responder import Responder
from tests.standins.server_fault_injector import ServerFaultInjector

SWITCHES_PATH = "/-/switches"
RECORDS_PATH = "/-/records"


SwitchesT = TypeVar("SwitchesT", bound=msgspec.Struct)


class StandIn(abc.ABC, Generic[SwitchesT]):
    """An ASGI application that replaces a service of the platform in tests.

    Its switches simulate failures: ``POST /-/switches`` changes those in the JSON body
    and ``GET`` returns all. ``GET /-/records`` returns what the stand-in has done.
    """

    switches: SwitchesT

    def attach(
        self, fault_injector: ServerFaultInjector, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Set the fault injector of the server and the group for background tasks."""
        self.fault_injector = fault_injector
        self.tasks = tasks

    @abc.abstractmethod
    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Serve a request of the service's own protocol."""

    @abc.abstractmethod
    def records(self) -> object:
        """Return what the stand-in has done, as a value that JSON can encode."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        req = await read_request(scope, receive)
        if req is None:
            return
        responder = Responder(send, self.fault_injector, req.client)
        if req.path == SWITCHES_PATH:
            await self._switch(req, responder)
        elif req.path == RECORDS_PATH:
            await responder.json(200, self.records())
        else:
            await self.handle(req, responder)

    async def _switch(self, req: IncomingRequest, responder: Responder) -> None:
        if req.method == "POST":
            changes = msgspec.json.decode(req.body, type=dict)
            try:
                self.set_switches(**changes)
            except msgspec.ValidationError as exc:
                await responder.error(400, str(exc))
                return
        await responder.json(200, self.switches)

    def set_switches(self, **changes: object) -> None:
        """Change switches; raises msgspec.ValidationError for an unknown one."""
        values = msgspec.structs.asdict(self.switches) | changes
        self.switches = msgspec.convert(values, type(self.switches))
