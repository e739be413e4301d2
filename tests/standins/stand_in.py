"""Base class of the stand-ins."""

from __future__ import annotations

import abc
from typing import Generic, TypeVar

import anyio.abc
import msgspec

from tests.standins.asgi import Receive, Scope, Send, read_request
from tests.standins.incoming_request import IncomingRequest
from tests.standins.responder import Responder
from tests.standins.server_control import ServerControl

SWITCHES_PATH = "/-/switches"
RECORDS_PATH = "/-/records"


SwitchesT = TypeVar("SwitchesT", bound=msgspec.Struct)


class StandIn(abc.ABC, Generic[SwitchesT]):
    """An ASGI application with switches and a record of what it did.

    ``POST /-/switches`` changes the named switches and ``GET`` returns all;
    ``GET /-/records`` returns the record.
    """

    switches: SwitchesT

    def attach(self, control: ServerControl, tasks: anyio.abc.TaskGroup) -> None:
        """Take over the server's control and the group for background tasks."""
        self.control = control
        self.tasks = tasks

    @abc.abstractmethod
    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Answer a request."""

    @abc.abstractmethod
    def records(self) -> object:
        """Return what was done, for JSON."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        req = await read_request(scope, receive)
        if req is None:
            return
        responder = Responder(send, self.control, req.client)
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
