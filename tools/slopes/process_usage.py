"""Processor time and memory of processes that this program has started."""

from __future__ import annotations

import dataclasses
import pathlib

NANOSECONDS = 1_000_000_000
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor seconds since the start and resident bytes."""

    cpu_seconds: float
    resident_bytes: int

    @classmethod
    def of(cls, pid: int) -> ProcessUsage:
        """Return the usage of a running process."""
        root = pathlib.Path("/proc") / str(pid)
        nanoseconds = sum(
            int(path.read_text(encoding="ascii").split()[0])
            for path in root.glob("task/*/schedstat")
        )
        return cls(nanoseconds / NANOSECONDS, _resident_bytes(root / "status"))


def _resident_bytes(path: pathlib.Path) -> int:
    for line in path.read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0
