"""Options of TCP connections."""

from __future__ import annotations

import contextlib
import socket
import struct

from anyio.abc import ByteStream, SocketAttribute

TCP_USER_TIMEOUT_MS = 4_000
"""Time after which the kernel closes a connection with unacknowledged data.

It also decides after which silence keep-alive probes give up, whatever their count.
"""

KEEP_ALIVE_IDLE_SECONDS = 2
"""Silence after which the first keep-alive probe is sent."""

KEEP_ALIVE_INTERVAL_SECONDS = 1


def limit_buffers(stream: ByteStream, size: int) -> None:
    """Fix the sizes of the kernel's buffers, which would grow to megabytes else."""
    sock = stream.extra(SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def limit_silence(stream: ByteStream) -> None:
    """Have the kernel close the connection if the peer acknowledges nothing."""
    sock = stream.extra(SocketAttribute.raw_socket)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def send_keep_alives(stream: ByteStream) -> None:
    """Have the kernel notice, while nothing is sent, that the peer is gone."""
    with contextlib.suppress(OSError):
        limit_silence(stream)
        sock = stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS
        )


def set_reset_on_close(sock: socket.socket, *, is_reset: bool) -> None:
    """Choose whether the kernel resets the connection when it is closed.

    That holds for the end of the process too. Raises OSError if it has ended.
    """
    linger = struct.pack("ii", is_reset, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset_on_close(stream: ByteStream) -> None:
    """Have the kernel reset a connection, which may have ended, when it is closed."""
    with contextlib.suppress(OSError):
        set_reset_on_close(stream.extra(SocketAttribute.raw_socket), is_reset=True)
