from __future__ import annotations

import contextlib
import hashlib
import random
import time
from collections.abc import AsyncIterator

import anyio
import httpcore
import msgspec

from knapweeddrum.endpoint.http_model_engine import HttpModelEngine
from knapweeddrum.endpoint.http_plain_service import HttpPlainService
from knapweeddrum.message.resource.budget import Budget
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.organisation import Organisation
from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.router.caller_server import listen
from knapweeddrum.process.router.endpoint_clients import EndpointClients
from knapweeddrum.process.router.router import Router, running_router
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.settings.settings import Settings
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.identifiers import Incarnation
from tests.process.router.chat_reply import ChatReply
from tests.process.router.memory_keeper import MemoryKeeper
from tests.standins.model_engine import ModelEngineStandIn
from tests.standins.plain_service import PlainServiceStandIn
from tests.standins.serving import serve

KEY = "key-of-the-mill"
BUDGET = "mill/main"
MODEL = "drafts"
SERVICE = "orders"
ENGINES = 2
CHAT = "/v1/chat/completions"


class RouterHarness:
    """A router on a loopback port, with fake endpoints and a keeper in memory.

    ``clock_offset`` is added to the router's clock, in seconds.
    """

    def __init__(self, keeper: MemoryKeeper, name: str, **limits: object) -> None:
        self.keeper = keeper
        self.metrics = Metrics()
        self.clock_offset = 0.0
        self.router: Router
        self.port = 0
        self.context = RouterContext(
            settings=_settings(name, limits),
            keeper=keeper,
            clients=EndpointClients(HttpModelEngine.connect, HttpPlainService.connect),
            events=EventLog("error"),
            metrics=self.metrics,
            rng=random.Random(name),
            clock=lambda: time.monotonic() + self.clock_offset,
            wall_clock=lambda: 1_700_000_000.0,
            incarnation=Incarnation(f"{name}/router/1"),
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[RouterHarness]:
        listener = listen("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        async with running_router(self.context, listener) as self.router:
            yield self

    async def ready(self) -> None:
        """Return once the router has the keeper's configuration in force."""
        await wait_until(lambda: self.router.gate.health().state == "serving")

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = KEY,
        **headers: str,
    ) -> ChatReply:
        async with self.send(method, path, body, key, **headers) as response:
            content = await response.aread()
            return reply_of(response, content)

    @contextlib.asynccontextmanager
    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = KEY,
        **headers: str,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request; leaving the context closes the connection."""
        all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            all_headers["Authorization"] = f"Bearer {key}"
        all_headers["Host"] = "router"
        all_headers["Content-Length"] = str(len(body))
        origin = httpcore.Origin(b"http", b"127.0.0.1", self.port)
        async with (
            httpcore.AsyncHTTPConnection(origin) as connection,
            connection.stream(
                method,
                httpcore.URL(
                    scheme="http", host="127.0.0.1", port=self.port, target=path
                ),
                headers=all_headers,
                content=body,
            ) as response,
        ):
            yield response

    async def chat(self, tokens: int = 5, **headers: str) -> ChatReply:
        return await self.request("POST", CHAT, chat_body(tokens), **headers)


def reply_of(response: httpcore.Response, body: bytes) -> ChatReply:
    headers = {
        name.decode().lower(): value.decode() for name, value in response.headers
    }
    return ChatReply(response.status, headers, body)


def chat_body(tokens: int = 5, stream: bool = True, **fields: object) -> bytes:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "quote lot 7"}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return msgspec.json.encode(body | fields)


async def wait_until(condition) -> None:
    """Wait until the condition holds; raises TimeoutError after 20 s."""
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.002)


def _settings(name: str, limits: dict[str, object]) -> Settings:
    platform = dict.fromkeys(("log", "host_list"), "http://127.0.0.1:1")
    return Settings.model_validate(
        {
            "fleet": {"name": "test", "key": "0123456789abcdef"},
            "host": {
                "name": name,
                "region": "kz",
                "data_centre": "kz-1",
                "address": "127.0.0.1",
            },
            "platform": platform,
            "router": limits,
        }
    )


class Endpoints:
    """The stand-ins for the endpoints of a router under test."""

    def __init__(self) -> None:
        self.engines = [ModelEngineStandIn() for _ in range(ENGINES)]
        self.service = PlainServiceStandIn()

    def runs(self):
        """Return the runs of all engines."""
        return [run for engine in self.engines for run in engine.ledger]

    def consumed(self) -> int:
        """Return the tokens that all runs consumed, by the engines' count."""
        return sum(
            run.output_tokens + (run.prompt_tokens if run.started_at else 0)
            for run in self.runs()
        )

    def executions(self) -> int:
        """Return how often the plain service executed a request."""
        return sum(self.service.executions.values())

    def switch(self, **switches: object) -> None:
        for engine in self.engines:
            engine.set_switches(**switches)


@contextlib.asynccontextmanager
async def serve_endpoints(keeper: MemoryKeeper) -> AsyncIterator[Endpoints]:
    """Serve the stand-ins and add them to the keeper's configuration."""
    endpoints = Endpoints()
    async with contextlib.AsyncExitStack() as stack:
        names = []
        for number, engine in enumerate(endpoints.engines):
            url = await stack.enter_async_context(serve(engine))
            names.append(f"engine-{number}")
            kind = EndpointKind.MODEL_ENGINE
            keeper.put("endpoint", names[-1], Endpoint(kind, url, "kz-1"))
        url = await stack.enter_async_context(serve(endpoints.service))
        kind = EndpointKind.PLAIN_SERVICE
        keeper.put("endpoint", "svc", Endpoint(kind, url, "kz-1"))
        keeper.put("route", SERVICE, Route(kind, ("svc",)))
        keeper.put("route", MODEL, Route(EndpointKind.MODEL_ENGINE, tuple(names)))
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        keeper.put("organisation", "mill", Organisation((digest,)))
        keeper.put("budget", BUDGET, Budget("mill"))
        yield endpoints


@contextlib.asynccontextmanager
async def run_router(
    balance: int = 100_000, **limits: object
) -> AsyncIterator[tuple[RouterHarness, Endpoints]]:
    """Run a router with two engines and a service, and wait until it serves."""
    keeper = MemoryKeeper()
    keeper.balances[BUDGET] = balance
    harness = RouterHarness(keeper, "alfa", **limits)
    async with serve_endpoints(keeper) as endpoints, harness.running():
        await harness.ready()
        yield harness, endpoints
