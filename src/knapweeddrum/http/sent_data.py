"""Whether a peer has taken what was sent to it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

import anyio
from anyio.abc import ByteStream, SocketAttribute

MAX_WAIT_SECONDS = 1.0
"""Time in which a peer that has ended its side takes what was sent to it."""

CHECK_INTERVAL_SECONDS = 0.01

_NO_EVENTS = 0
"""An error of a connection is reported without being asked for."""


async def is_sent_data_taken(stream: ByteStream) -> bool:
    """Return whether the peer's kernel has acknowledged all that was written.

    It is waited for while the connection lives. A connection that was reset, or whose
    peer leaves data, returns False.
    """
    sock = stream.extra(SocketAttribute.raw_socket)
    with anyio.move_on_after(MAX_WAIT_SECONDS):
        while not _is_reset(sock):
            if not _unacknowledged(sock):
                return True
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
    return False


def _is_reset(sock: socket.socket) -> bool:
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), _NO_EVENTS)
    return any(event & select.POLLERR for _, event in poller.poll(0))


def _unacknowledged(sock: socket.socket) -> int:
    """Return the bytes in the kernel that the peer's has not acknowledged.

    0 where the kernel does not tell.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])
