from __future__ import annotations

import socket

import anyio
import anyio.abc

from knapweeddrum.http.socket_options import (
    KEEP_ALIVE_IDLE_SECONDS,
    KEEP_ALIVE_INTERVAL_SECONDS,
    TCP_USER_TIMEOUT_MS,
    send_keep_alives,
)
from tests.async_test import async_test
from tests.standins.tcp_serving import serving


async def keep_open(_: anyio.abc.SocketStream) -> None:
    """Keep a connection open."""
    await anyio.sleep_forever()


@async_test
async def test_keep_alive_probes_are_sent_before_the_user_timeout_gives_up():
    """TCP_USER_TIMEOUT decides when they do, whatever their count."""
    async with serving(keep_open) as address:
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        send_keep_alives(stream)
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        options = {
            option: sock.getsockopt(level, option)
            for level, option in (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
        }
        await stream.aclose()
    assert options[socket.SO_KEEPALIVE]
    assert options[socket.TCP_KEEPIDLE] == KEEP_ALIVE_IDLE_SECONDS
    assert options[socket.TCP_USER_TIMEOUT] == TCP_USER_TIMEOUT_MS
    first_probes = KEEP_ALIVE_IDLE_SECONDS + KEEP_ALIVE_INTERVAL_SECONDS
    assert first_probes * 1000 < TCP_USER_TIMEOUT_MS
