from __future__ import annotations

import contextlib
import signal
import socket
import time
from typing import cast

import anyio

from knapweeddrum.http.exceptions import PeerRefusedError
from knapweeddrum.process.entry.link_watch import LinkWatch
from knapweeddrum.telemetry.counters import LISTEN_FAILED_COUNT, LISTENER_CLOSED
from knapweeddrum.value.link_source import LinkSource
from tests.assertions import raises
from tests.async_test import async_test
from tests.console.test_client_commands import run
from tests.process.entry.embedded_caller_server import (
    EmbeddedCallerServer,
    embedded_caller_server,
    request,
)
from tests.process.entry.entry_harness import EntryHarness, entry_harness
from tests.standins.recording_event_log import RecordingEventLog
from tests.standins.stamped_server import StampedServer

OVERLOAD_BYTES = 64_000_000
"""More than a link of 1,000 Mbit/s carries in the time of a look."""
CROWD, CROWD_SECONDS, CROWD_BODY = 16, 2.0, 30_000


def connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection((host, int(port))).close()
        return True
    return False


async def wait_until(condition, limit: float = 5.0) -> None:
    with anyio.fail_after(limit):
        while not condition():
            await anyio.sleep(0.005)


async def pause(host: EmbeddedCallerServer) -> str:
    address = host.ctx.settings.caller_address
    host.server.pause_accepting()
    await wait_until(lambda: not connects(address))
    return address


@async_test
async def test_new_callers_are_reset_during_a_pause_and_others_served():
    """Kept connections go on."""
    async with embedded_caller_server() as host:
        kept = await host.connect()
        address = await pause(host)
        await kept.send(request("second"))
        answer = await kept.answer()
        assert answer is not None
        assert answer.status == 503
        assert not answer.says_close
        host.server.resume_accepting()
        await wait_until(lambda: connects(address))
        assert (await (await host.connect()).answer(0.1)) is None


@async_test
async def test_callers_that_wait_as_a_pause_begins_are_answered():
    """They may have sent requests, and a drain that begins then waits for them."""
    async with embedded_caller_server() as host:
        await wait_until(lambda: not host.server.has_sessions)
        ip, _, port = host.ctx.settings.caller_address.rpartition(":")
        with contextlib.ExitStack() as stack:
            callers = [
                stack.enter_context(socket.create_connection((ip, int(port))))
                for _ in range(5)
            ]
            for caller in callers:
                caller.sendall(request("waiting"))
            host.server.pause_accepting()
            for _ in range(50):
                assert host.server.has_sessions
                await anyio.sleep(0)
            for caller in callers:
                answer = await anyio.to_thread.run_sync(caller.recv, 4096)
                assert answer.startswith(b"HTTP/1.1 503 ")


@async_test
async def test_stop_during_a_pause_is_for_good():
    """A drain would otherwise wait for a listener, or listen again at its end."""
    async with embedded_caller_server() as host:
        address = await pause(host)
        await wait_until(lambda: not host.server.has_sessions)
        host.server.stop_accepting()
        host.server.resume_accepting()
        await anyio.sleep(0.1)
        assert not connects(address)
        assert not host.server.has_sessions


@async_test
async def test_address_that_is_taken_is_bound_as_soon_as_it_is_free():
    """The process goes on, and says why it takes no callers."""
    async with embedded_caller_server() as host:
        address = await pause(host)
        ip, _, port = address.rpartition(":")
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((ip, int(port)))
            other.listen()
            host.server.resume_accepting()
            counts = host.ctx.metrics.counts
            await wait_until(lambda: counts[LISTEN_FAILED_COUNT] >= 2)
        assert "listen_failed" in cast("RecordingEventLog", host.ctx.events).names
        await wait_until(lambda: connects(address))
        await host.connect()


@async_test
async def test_answers_end_kept_connections_while_nothing_comes_through_the_link():
    """A closed listener doesn't hold back callers who keep their connections."""
    async with embedded_caller_server() as host:
        kept = await host.connect()
        await kept.send(request("first"))
        answer = await kept.answer()
        assert answer is not None
        assert not answer.says_close
        now = time.monotonic()
        for source in (LinkSource.ENDPOINTS, LinkSource.STORE):
            host.ctx.link_load.record_trip(source, 1.0, now, is_answered=False)
        await kept.send(request("second"))
        answer = await kept.answer()
        assert answer is not None
        assert answer.says_close


@async_test
async def test_full_link_closes_the_listener_for_moments_and_tells_once():
    """Others hear when it begins and when it has been open for long."""
    async with embedded_caller_server() as host, anyio.create_task_group() as tasks:
        told: list[bool] = []
        ctx = host.ctx
        watch = LinkWatch(ctx, host.server, lambda: told.append(ctx.link_load.sheds))
        tasks.start_soon(watch.run)
        names = cast("RecordingEventLog", ctx.events).names
        for _ in range(3):
            closings = ctx.link_load.closings
            while ctx.link_load.closings == closings:
                ctx.link_load.receive(OVERLOAD_BYTES)
                await anyio.sleep(0.005)
            await wait_until(lambda: not connects(ctx.settings.caller_address))
            await wait_until(lambda: connects(ctx.settings.caller_address))
        await wait_until(lambda: len(told) == 2)
        assert told == [True, False]
        assert [n for n in names if n.startswith("link")] == [
            "link_full",
            "link_has_room",
        ]
        assert ctx.metrics.counts[LISTENER_CLOSED] >= 3
        tasks.cancel_scope.cancel()


@async_test
async def test_drain_that_begins_during_a_pause_listens_again():
    """Callers that don't know yet that the host leaves are still served."""
    async with embedded_caller_server() as host, anyio.create_task_group() as tasks:
        address = host.ctx.settings.caller_address
        watch = LinkWatch(host.ctx, host.server, lambda: None)
        tasks.start_soon(watch.run)
        while not host.ctx.link_load.is_closed:
            host.ctx.link_load.receive(OVERLOAD_BYTES)
            await anyio.sleep(0.005)
        host.ctx.draining = True
        await wait_until(lambda: connects(address))
        for _ in range(20):
            host.ctx.link_load.receive(OVERLOAD_BYTES)
            assert connects(address)
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def send_until(harness: EntryHarness, until: float, body: bytes) -> None:
    """Send requests, each on a connection of its own, whether they are reset or not."""
    number = 0
    while time.monotonic() < until:
        number += 1
        with contextlib.suppress(Exception):
            with anyio.move_on_after(1.0):
                attempt = f"crowd-{id(body)}-{number}"
                await harness.call("/read/1", attempt=attempt, body=body)
        await anyio.sleep(0.01)


@async_test
async def test_host_that_a_crowd_sends_too_much_serves_an_ordinary_caller_later():
    """It sheds connections meanwhile, and a signal to stop drains it as usual."""
    service = StampedServer("shop-1")
    async with entry_harness(services=(service,)) as harness:
        text = harness.settings_path.read_text()
        slow = text.replace("[limits]\n", "[limits]\nlinkMbps = 2.0\n")
        harness.settings_path.write_text(slow)
        harness.send_signal(signal.SIGHUP)
        await harness.wait_for_event("settings_reloaded")
        async with anyio.create_task_group() as tasks:
            until = time.monotonic() + CROWD_SECONDS
            for _ in range(CROWD):
                tasks.start_soon(send_until, harness, until, bytes(CROWD_BODY))
            await harness.wait_for_event("link_full")
            url = f"http://{harness.metrics_address}"
            ran = await anyio.to_thread.run_sync(run, "host-state", url)
            assert "sheds connections for" in ran.out, ran.out
        await harness.wait_for_event("link_has_room")
        assert (await harness.call("/read/1", attempt="later")).status == 200
        harness.send_signal(signal.SIGTERM)
        assert await harness.process.wait() == 0
        with raises(PeerRefusedError):
            await harness.call("/read/1", attempt="gone")
