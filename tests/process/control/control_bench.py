from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.process.control.control_process import ControlProcess
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.metrics import Metrics
from tests.process.control.answer import Answer
from tests.standins.fake_keeper import FakeKeeper, fake_host
from tests.standins.recording_event_log import RecordingEventLog


def control_settings(**control: object) -> Settings:
    """Return settings of a host on loopback."""
    platform = dict.fromkeys(("log", "host_list", "weight_store"), "http://127.0.0.1:1")
    return Settings.model_validate(
        {
            "fleet": {"name": "test", "key": "0123456789abcdef"},
            "host": {
                "name": "h1",
                "region": "loopback",
                "data_centre": "dc-1",
                "address": "127.0.0.1",
            },
            "platform": platform,
            "control": control,
        }
    )


class ControlBench:
    """The resource API over a fake keeper, called without a network."""

    def __init__(self, **control: object) -> None:
        self.keeper = FakeKeeper()
        self.keeper.hosts = [fake_host("h1")]
        self.events = RecordingEventLog()
        self.metrics = Metrics()
        self.stopping = anyio.Event()
        self.process = ControlProcess(
            control_settings(**control),
            self.keeper,
            PeerChannels(lambda address, port: self.keeper),
            "h1/control/1",
            self.events,
            self.metrics,
            self.stopping,
        )

    async def call(
        self, method: str, path: str, document: object = None, **headers: str
    ) -> Answer:
        """Send a request with a JSON body and return the whole answer."""
        body = b"" if document is None else json.dumps(document).encode()
        return await self.send(method, path, body, **headers)

    async def send(self, method: str, path: str, body: bytes, **headers: str) -> Answer:
        """Send a request and return the whole answer."""
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
        """Declare a resource."""
        document = {"version": version, "spec": spec}
        return await self.call("PUT", f"/v1/resources/{path}", document, **headers)

    async def ready(self) -> None:
        """Wait until the process has read the keeper's state."""
        while not self.process.follower.copy.ready:
            await anyio.sleep(0.001)


@contextlib.asynccontextmanager
async def control_bench(**control: object) -> AsyncIterator[ControlBench]:
    """Give a bench whose process follows its keeper."""
    bench = ControlBench(**control)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.process.follower.run)
        await bench.ready()
        yield bench
        tasks.cancel_scope.cancel()
