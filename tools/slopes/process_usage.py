"""Processor time and memory of child processes."""

from __future__ import annotations

import dataclasses
import pathlib

NANOSECONDS = 1_000_000_000
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor time since the process started, in seconds, and memory in bytes.

    ``proportional_bytes`` divides each shared page by the processes that share it.
    """

    cpu_seconds: float
    resident_bytes: int
    proportional_bytes: int

    @classmethod
    def of(cls, pid: int) -> ProcessUsage:
        """Return the usage of a running process, from /proc."""
        root = pathlib.Path("/proc") / str(pid)
        nanoseconds = sum(
            int(path.read_text(encoding="ascii").split()[0])
            for path in root.glob("task/*/schedstat")
        )
        return cls(
            nanoseconds / NANOSECONDS,
            _read_bytes(root / "status", "VmRSS:"),
            _read_bytes(root / "smaps_rollup", "Pss:"),
        )


def _read_bytes(path: pathlib.Path, label: str) -> int:
    """Return the bytes of a field that a /proc file has in KiB; 0 if missing."""
    for line in path.read_text(encoding="ascii").splitlines():
        if line.startswith(label):
            return int(line.split()[1]) * KIB
    return 0
