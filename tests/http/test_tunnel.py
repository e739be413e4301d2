from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import anyio.abc
from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.tunnel import Tunnel
from knapweeddrum.http.tunnel_frames import (
    CLOSING_FRAME,
    END_FRAME,
    MAX_FRAME_BYTES,
    FrameDecoder,
    MalformedFrameError,
    encode_frame,
)
from knapweeddrum.http.tunnel_stream import TunnelStream
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.stamped_server import reset_when_closed
from tests.standins.tcp_serving import serving

BUFFER_BYTES = 32_768
"""Buffers of the host between, in the kernel."""

LARGE_BYTES = 64 * 1024 * 1024
HEADERS = [(b"Host", b"-"), (b"Content-Length", str(LARGE_BYTES).encode())]

KERNEL_BYTES = 12 * 1024 * 1024
"""What the buffers of both ends may grow to hold."""

END_SECONDS = 0.5
"""Time in which the end of one side reaches the other."""


class Far:
    """An endpoint that hands out the connection of a tunnel."""

    def __init__(self) -> None:
        self.connected = anyio.Event()
        self.ended = anyio.Event()
        self._stream: anyio.abc.SocketStream | None = None

    @property
    def stream(self) -> anyio.abc.SocketStream:
        assert self._stream is not None
        return self._stream

    async def accept(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self.connected.set()
        await self.ended.wait()


@contextlib.asynccontextmanager
async def passing_host(
    endpoint_address: str, tunnels: list[Tunnel]
) -> AsyncIterator[str]:
    """Pass connections on to an endpoint; yield the address of the host between."""

    async def pass_on(client: anyio.abc.SocketStream) -> None:
        host, _, port = endpoint_address.rpartition(":")
        endpoint = await anyio.connect_tcp(host, int(port))
        tunnels.append(Tunnel(client, endpoint, BUFFER_BYTES, lambda _: None))
        await tunnels[-1].run()

    async with serving(pass_on) as address:
        yield address


@contextlib.asynccontextmanager
async def tunnel_to(far: Far) -> AsyncIterator[tuple[TunnelStream, Tunnel]]:
    """Open a tunnel to an endpoint; yield both of its ends."""
    tunnels: list[Tunnel] = []
    async with (
        serving(far.accept) as endpoint_address,
        passing_host(endpoint_address, tunnels) as address,
    ):
        host, _, port = address.rpartition(":")
        near = TunnelStream(await anyio.connect_tcp(host, int(port)))
        await far.connected.wait()
        while not tunnels:
            await anyio.sleep(0.01)
        yield near, tunnels[0]
        far.ended.set()
        await anyio.aclose_forcefully(near)


async def receive_all(near: TunnelStream) -> tuple[bytes, str]:
    """Return what is received until the end, and which end that was."""
    received = bytearray()
    try:
        while True:
            received += await near.receive()
    except anyio.EndOfStream:
        return bytes(received), "ended"
    except (anyio.BrokenResourceError, OSError):
        return bytes(received), "cut"


@async_test
async def test_bytes_pass_both_ways_and_a_clean_end_stays_one():
    """An answer without a length ends with its connection."""
    far = Far()
    async with tunnel_to(far) as (near, _):
        await near.send(b"question")
        assert await far.stream.receive() == b"question"
        await far.stream.send(b"answer")
        await far.stream.send_eof()
        assert await receive_all(near) == (b"answer", "ended")


@async_test
async def test_reset_connection_of_an_endpoint_never_looks_like_a_clean_end():
    """What was sent before is part of an answer."""
    far = Far()
    async with tunnel_to(far) as (near, _):
        await far.stream.send(b"part")
        assert await near.receive() == b"part"
        reset_when_closed(far.stream)
        await far.stream.aclose()
        assert await receive_all(near) == (b"", "cut")


@async_test
async def test_end_of_the_host_between_never_looks_like_a_clean_end():
    """The kernel closes its connections in good order when it is killed."""

    async def send_part_and_end(stream: anyio.abc.SocketStream) -> None:
        await stream.send(encode_frame(b"part"))
        await stream.aclose()

    async with serving(send_part_and_end) as address:
        host, _, port = address.rpartition(":")
        near = TunnelStream(await anyio.connect_tcp(host, int(port)))
        assert await receive_all(near) == (b"part", "cut")
        await near.aclose()


@async_test
async def test_end_of_the_host_that_asked_reaches_the_endpoint():
    """A caller that leaves is to be noticed there within half a second."""
    far = Far()
    async with tunnel_to(far) as (near, _):
        await near.aclose()
        with anyio.fail_after(END_SECONDS), raises(anyio.EndOfStream):
            await far.stream.receive()


@async_test
async def test_host_that_leaves_within_an_upload_ends_the_tunnel_at_once():
    """The endpoint does not read, so that the rest of the upload waits between."""
    tunnels: list[Tunnel] = []
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as endpoint:
        endpoint_address = f"127.0.0.1:{endpoint.getsockname()[1]}"
        async with passing_host(endpoint_address, tunnels) as address:
            host, _, port = address.rpartition(":")
            stream = await anyio.connect_tcp(host, int(port))
            near = ClientConnection(TunnelStream(stream))
            near.via = "host between"
            with anyio.move_on_after(1.0):
                async with near.exchange(b"POST", b"/", HEADERS, bytes(LARGE_BYTES)):
                    pass
            await near.close()
            with anyio.fail_after(END_SECONDS):
                while not tunnels[0].is_over:
                    await anyio.sleep(0.01)


@async_test
async def test_peer_that_does_not_read_holds_the_endpoint_back():
    """The host between keeps what the kernel holds, and one read."""
    far = Far()
    tunnels: list[Tunnel] = []
    async with (
        serving(far.accept) as endpoint_address,
        passing_host(endpoint_address, tunnels) as address,
    ):
        host, _, port = address.rpartition(":")
        with contextlib.closing(socket.create_connection((host, int(port)))):
            await far.connected.wait()
            sent = 0
            with anyio.move_on_after(1.0):
                while True:
                    await far.stream.send(bytes(65_536))
                    sent += 65_536
        far.ended.set()
    assert sent < KERNEL_BYTES


@async_test
async def test_early_answer_to_a_long_upload_arrives_before_the_tunnel_is_cut():
    """The endpoint answers, then resets the connection with the upload unread."""
    far = Far()
    async with tunnel_to(far) as (near, _), anyio.create_task_group() as tasks:

        async def upload() -> None:
            with contextlib.suppress(anyio.BrokenResourceError, OSError):
                while True:
                    await near.send(bytes(65_536))

        tasks.start_soon(upload)
        await far.stream.send(b"early")
        assert await near.receive() == b"early"
        reset_when_closed(far.stream)
        await far.stream.aclose()
        assert await receive_all(near) == (b"", "cut")
        tasks.cancel_scope.cancel()


@async_test
async def test_tunnel_of_a_draining_host_is_not_used_again():
    """What runs in it goes on."""
    far = Far()
    async with tunnel_to(far) as (near, tunnel):
        assert not near.has_unread
        await tunnel.announce_end()
        await far.stream.send(b"rest")
        assert await near.receive() == b"rest"
        assert near.has_unread


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=8), st.data())
def test_frames_may_arrive_in_any_pieces(parts: list[bytes], data: st.DataObject):
    """The content and the end are the same."""
    encoded = b"".join(map(encode_frame, parts)) + CLOSING_FRAME + END_FRAME
    decoder = FrameDecoder()
    content = b""
    while encoded:
        size = data.draw(st.integers(1, len(encoded)))
        content += decoder.feed(encoded[:size])
        encoded = encoded[size:]
    assert content == b"".join(parts)
    assert (decoder.is_ended, decoder.is_closing) == (True, True)


def test_bytes_that_are_no_frames_are_rejected():
    """A frame is bounded, and none follows the last."""
    for data in (
        (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        END_FRAME + encode_frame(b"more"),
    ):
        with raises(MalformedFrameError):
            FrameDecoder().feed(data)
