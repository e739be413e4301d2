"""Watches the memory and the descriptors of a process under test."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import re
from collections.abc import AsyncIterator

import anyio

SAMPLE_INTERVAL_SECONDS = 0.05
LISTENING = "0A"
"""State of listening sockets in /proc/net/tcp, whose queues count connections."""


@dataclasses.dataclass(slots=True)
class ProcessWatch:
    """Peaks of one process, also of what the kernel holds on its connections."""

    pid: int
    own_ports: frozenset[int]
    """Ports at which the process listens."""
    peer_ports: frozenset[int]
    """Ports to which it connects."""
    most_queued_bytes: int = 0
    most_descriptors: int = 0
    most_sockets: int = 0

    def peak_memory(self) -> int:
        """Return the peak resident memory plus that of the queues of its sockets.

        The two peaks may be at different times, which makes this an upper bound.
        """
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None, "the process has ended"
        return int(match[1]) * 1024 + self.most_queued_bytes

    async def sample_forever(self) -> None:
        """Record peaks until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_SECONDS)

    def sample(self) -> None:
        """Record the present numbers."""
        links = []
        folder = pathlib.Path(f"/proc/{self.pid}/fd")
        with contextlib.suppress(FileNotFoundError):
            for path in folder.iterdir():
                with contextlib.suppress(OSError):
                    links.append(os.readlink(path))
        sockets = sum(link.startswith("socket:") for link in links)
        self.most_descriptors = max(self.most_descriptors, len(links))
        self.most_sockets = max(self.most_sockets, sockets)
        self.most_queued_bytes = max(self.most_queued_bytes, self._queued_bytes())

    def _queued_bytes(self) -> int:
        total = 0
        table = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
        for line in table.splitlines()[1:]:
            _, local, remote, state, queues = line.split()[:5]
            is_own = _port(local) in self.own_ports or _port(remote) in self.peer_ports
            if is_own and state != LISTENING:
                sent, _, received = queues.partition(":")
                total += int(sent, 16) + int(received, 16)
        return total


@contextlib.asynccontextmanager
async def watched(
    pid: int, own: list[str], peers: list[str]
) -> AsyncIterator[ProcessWatch]:
    """Watch a process that listens at ``own`` and connects to ``peers`` addresses."""
    watch = ProcessWatch(pid, _ports(own), _ports(peers))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.sample_forever)
        yield watch
        watch.sample()
        tasks.cancel_scope.cancel()


def _ports(addresses: list[str]) -> frozenset[int]:
    return frozenset(int(address.rpartition(":")[2]) for address in addresses)


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)
