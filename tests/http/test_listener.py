from __future__ import annotations

import contextlib
import errno
import socket
import struct
import time
from collections.abc import Iterator

import anyio
from anyio.abc import SocketAttribute, SocketStream

from knapweeddrum.http.listener import Listener, listen
from tests.assertions import raises
from tests.async_test import async_test
from tools.free_ports import free_ports

CALLERS = 150
PASS_SECONDS = 0.004
"""Time that the event loop of a host with much traffic takes for one pass."""
MAX_WAIT_SECONDS = 0.5
"""Time within which callers that connect at one moment are served."""


def fail_test(exc: OSError) -> None:
    """Handle a failure to accept in a test in which there is none."""
    raise AssertionError from exc


class ExhaustedSocket(socket.socket):
    """A listening socket that can't accept for want of descriptors, several times."""

    failures_left = 3

    def accept(self) -> tuple[socket.socket, object]:
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


async def keep_loop_busy() -> None:
    while True:
        time.sleep(PASS_SECONDS)
        await anyio.sleep(0)


@contextlib.contextmanager
def connected_callers(port: int, count: int) -> Iterator[list[socket.socket]]:
    """Connect so many callers, whether they are accepted or not."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(socket.create_connection(("127.0.0.1", port)))
            for _ in range(count)
        ]


@async_test
async def test_callers_that_connect_together_are_served_though_the_loop_is_busy():
    """The loop's passes don't bound how many connections are accepted in a second."""
    (port,) = free_ports(1)
    served: list[float] = []

    async def serve(stream: SocketStream) -> None:
        served.append(time.monotonic())
        await stream.aclose()

    async with listen(f"127.0.0.1:{port}", fail_test) as listener:
        with connected_callers(port, CALLERS):
            started_at = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keep_loop_busy)
                tasks.start_soon(listener.serve, serve)
                with anyio.move_on_after(4 * MAX_WAIT_SECONDS):
                    while len(served) < CALLERS:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
    assert len(served) == CALLERS, len(served)
    assert max(served) - started_at < MAX_WAIT_SECONDS


@async_test
async def test_accepted_connections_send_without_delay():
    """Small answers don't wait for the acknowledgement of earlier ones."""
    (port,) = free_ports(1)
    options: list[int] = []
    done = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        raw = stream.extra(SocketAttribute.raw_socket)
        options.append(raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await stream.aclose()
        done.set()

    async with (
        listen(f"127.0.0.1:{port}", fail_test) as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, serve)
        with connected_callers(port, 1):
            await done.wait()
        tasks.cancel_scope.cancel()
    assert options[0]


@async_test
async def test_listener_that_is_closed_refuses_connections():
    """Closing it ends its socket at once."""
    (port,) = free_ports(1)
    async with listen(f"127.0.0.1:{port}", fail_test):
        pass
    with raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


@async_test
async def test_caller_that_is_gone_before_it_is_accepted_disturbs_nobody():
    """Its connection is dropped, and the next one is served."""
    (port,) = free_ports(1)
    served = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        await stream.aclose()
        served.set()

    async with (
        listen(f"127.0.0.1:{port}", fail_test) as listener,
        anyio.create_task_group() as tasks,
    ):
        with connected_callers(port, 3) as gone:
            for sock in gone:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        tasks.start_soon(listener.serve, serve)
        with connected_callers(port, 1):
            with anyio.fail_after(2):
                await served.wait()
        tasks.cancel_scope.cancel()


@async_test
async def test_want_of_descriptors_is_reported_once_and_callers_wait():
    """A row of failures is one report; the caller is served when it has ended."""
    reported: list[OSError] = []
    served = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        await stream.aclose()
        served.set()

    with contextlib.closing(ExhaustedSocket()) as sock:
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Listener(sock, reported.append).serve, serve)
            with connected_callers(sock.getsockname()[1], 1), anyio.fail_after(2):
                await served.wait()
            tasks.cancel_scope.cancel()
    (exc,) = reported
    assert exc.errno == errno.EMFILE
