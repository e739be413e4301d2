from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.process.control.control_context import ControlContext
from knapweeddrum.process.control.control_process import ControlProcess
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.metrics import Metrics
from tests.process.control.answer import Answer
from tests.standins.fake_keeper import FakeKeeper, fake_host
from tests.standins.recording_event_log import RecordingEventLog


def control_settings(host: str = "h1", **control: object) -> Settings:
    """Return settings of a host on loopback."""
    platform = dict.fromkeys(("log", "host_list"), "http://127.0.0.1:1")
    return Settings.model_validate(
        {
            "fleet": {"name": "test", "key": "0123456789abcdef"},
            "host": {
                "name": host,
                "region": "loopback",
                "data_centre": "dc-1",
                "address": "127.0.0.1",
            },
            "platform": platform,
            "control": control,
        }
    )


class ControlBench:
    """A control process with a fake keeper, called through ASGI without a network."""

    def __init__(
        self,
        keeper: FakeKeeper | None = None,
        host: str = "h1",
        **control: object,
    ) -> None:
        self.keeper = keeper or FakeKeeper()
        self.keeper.hosts = self.keeper.hosts or [fake_host(host)]
        self.events = RecordingEventLog()
        self.metrics = Metrics()
        self.stopping = anyio.Event()
        self.now = 0.0
        self.host = host
        context = ControlContext(
            settings=control_settings(host, **control),
            caller=self.keeper,
            channels=PeerChannels(lambda address, port: self.keeper),
            incarnation=f"{host}/control/1",
            events=self.events,
            metrics=self.metrics,
            clock=lambda: self.now,
            stopping=self.stopping,
        )
        self.process = ControlProcess(context)

    async def call(
        self, method: str, path: str, document: object = None, **headers: str
    ) -> Answer:
        """Send a request with a JSON body and return the response."""
        body = b"" if document is None else json.dumps(document).encode()
        return await self.send(method, path, body, **headers)

    async def send(self, method: str, path: str, body: bytes, **headers: str) -> Answer:
        """Send a request and return the response."""
        path, _, query = path.partition("?")
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(n.encode(), v.encode()) for n, v in names.items()],
        }
        requests = [{"type": "http.request", "body": body}]
        messages = []

        async def receive():
            if requests:
                return requests.pop()
            return await anyio.sleep_forever()

        async def send(message):
            messages.append(message)

        await self.process.app(scope, receive, send)
        return Answer.from_messages(messages)

    async def put(self, path: str, version: int, spec: object, **headers: str):
        """Create a resource (version 0) or replace this version of it."""
        document = {"version": version, "spec": spec}
        return await self.call("PUT", f"/v1/resources/{path}", document, **headers)

    def ignore_replies(self) -> None:
        """Ignore all further replies of the keeper about the configuration."""
        self.process.follower.copy.apply = lambda reply: False

    async def ready(self) -> None:
        """Wait until the process has read the configuration."""
        while not self.process.follower.copy.ready:
            await anyio.sleep(0.001)


@contextlib.asynccontextmanager
async def control_bench(
    keeper: FakeKeeper | None = None,
    host: str = "h1",
    **control: object,
) -> AsyncIterator[ControlBench]:
    """Yield a bench whose process has read the configuration and follows it."""
    bench = ControlBench(keeper, host, **control)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.process.follower.run)
        await bench.ready()
        yield bench
        tasks.cancel_scope.cancel()
