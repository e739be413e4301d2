"""TCP ports for processes that are started later."""

from __future__ import annotations

import contextlib
import random
import socket

FIRST_PORT = 15_000
LAST_PORT = 32_000
"""Below the ports that the kernel gives to outgoing connections."""

_rng = random.SystemRandom()


def free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that are free now.

    They are drawn at random where no outgoing connection takes them until they are
    used, and tests that run beside one another seldom draw the same.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = _rng.randint(FIRST_PORT, LAST_PORT)
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
        return ports
