"""TCP ports for processes that are started later."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import random
import socket

FIRST_PORT = 15_000
LAST_PORT = 32_000
"""Below the ports that the kernel gives to outgoing connections."""

PORT_SLICE_VARIABLE = "KNAPWEED_PORT_SLICE"
"""Environment variable that names the part of the ports that a process may draw."""

_rng = random.SystemRandom()
_given: set[int] = set()
"""Ports that this process has given out; who got one may not listen on it yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class PortSlice:
    """One of ``count`` equal parts of the ports; ``number`` counts from 0."""

    number: int = 0
    count: int = 1

    def __str__(self) -> str:
        return f"{self.number}/{self.count}"

    @classmethod
    def parse(cls, text: str) -> PortSlice:
        """Return the slice of a text like ``0/4``; raises ValueError."""
        number, _, count = text.partition("/")
        return cls(int(number), int(count))

    @property
    def size(self) -> int:
        """Return the number of ports of the slice."""
        return (LAST_PORT - FIRST_PORT) // self.count

    def draw(self) -> int:
        """Return a random port of the slice."""
        return FIRST_PORT + self.number * self.size + _rng.randrange(self.size)


def free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that are free now.

    They are drawn at random where no outgoing connection takes them until they are
    used, and none is given twice while others are left. Test workers beside one another
    draw from different slices.
    """
    ports_of_process = PortSlice.parse(os.environ.get(PORT_SLICE_VARIABLE, "0/1"))
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = ports_of_process.draw()
            if len(_given) > ports_of_process.size // 2:
                _given.clear()
            if port in _given:
                continue
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
                _given.add(port)
        return ports
