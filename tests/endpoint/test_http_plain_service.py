from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec

from knapweeddrum.endpoint.exceptions import EndpointConnectError, EndpointError
from knapweeddrum.endpoint.http_plain_service import HttpPlainService
from knapweeddrum.endpoint.service_request import ServiceRequest
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.execution import Execution
from tests.standins.plain_service import PlainServiceStandIn
from tests.standins.raw_server import RESET, RawServer, json_reply
from tests.standins.serving import serve

TIMEOUT_SECONDS = 10.0
SHORT_TIMEOUT_SECONDS = 0.05
FOREVER_SECONDS = 3600.0
BOOKING = ServiceRequest(
    method="POST",
    path="/bookings?mill=3",
    body=b"{}",
    content_type="application/json",
    key="k1",
)
EXECUTION = Execution(key="k1", method="POST", path="/bookings")


@contextlib.asynccontextmanager
async def served_service() -> AsyncIterator[
    tuple[PlainServiceStandIn, HttpPlainService]
]:
    app = PlainServiceStandIn()
    async with serve(app) as url, HttpPlainService.connect(url) as service:
        yield app, service


@async_test
async def test_call_runs_once_and_is_answered():
    """The service receives key, method and path, and its answer is returned."""
    async with served_service() as (app, service):
        reply = await service.call(BOOKING, TIMEOUT_SECONDS)
        assert (reply.status, reply.content_type) == (200, "application/json")
        assert msgspec.json.decode(reply.body)["execution"] == 1
        assert app.executions == {EXECUTION: 1}
        assert (await service.load()).running == 0


@async_test
async def test_call_without_an_answer_may_have_run():
    """A cut, a crash and a timeout raise EndpointError, each after one execution."""
    async with served_service() as (app, service):
        app.set_switches(cut_replies=1)
        with raises(EndpointError):
            await service.call(BOOKING, TIMEOUT_SECONDS)
        assert app.executions == {EXECUTION: 1}
        app.set_switches(crash_marker="{}")
        with raises(EndpointError):
            await service.call(BOOKING, TIMEOUT_SECONDS)
        assert app.executions == {EXECUTION: 2}
        app.set_switches(crash_marker="none", delay_seconds=FOREVER_SECONDS)
        with raises(EndpointError):
            await service.call(BOOKING, SHORT_TIMEOUT_SECONDS)


@async_test
async def test_refusal_of_the_service_is_an_answer():
    """A status 503 is returned as an answer, and nothing was executed."""
    async with served_service() as (app, service):
        app.set_switches(refuse=True)
        assert (await service.call(BOOKING, TIMEOUT_SECONDS)).status == 503
        assert app.executions == {}


@async_test
async def test_unreachable_service_was_sent_nothing():
    """Without a server, the call raises EndpointConnectError."""
    async with served_service() as (_, service):
        pass
    with raises(EndpointConnectError):
        await service.call(BOOKING, TIMEOUT_SECONDS)


@async_test
async def test_call_is_sent_once_when_the_connection_is_reset():
    """Each call has its own connection and is not repeated after a reset."""
    server = RawServer([json_reply(b"{}"), RESET, json_reply(b"{}")])
    async with server.serve() as url, HttpPlainService.connect(url) as service:
        await service.call(BOOKING, TIMEOUT_SECONDS)
        with raises(EndpointError):
            await service.call(BOOKING, TIMEOUT_SECONDS)
    assert (server.requests, server.connections) == (2, 2)
