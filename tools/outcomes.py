"""Outcomes of tests, passed from a worker process to the one that counts them."""

from __future__ import annotations

import pathlib
from typing import Self

import msgspec


class Outcomes(msgspec.Struct):
    """Names of the tests that ran and of those that failed, and the time of each."""

    ran: list[str] = msgspec.field(default_factory=list)
    broken: list[str] = msgspec.field(default_factory=list)
    seconds: dict[str, float] = msgspec.field(default_factory=dict)

    def add(self, other: Outcomes) -> None:
        self.ran += other.ran
        self.broken += other.broken
        self.seconds.update(other.seconds)

    def write(self, path: pathlib.Path) -> None:
        path.write_bytes(msgspec.json.encode(self))

    @classmethod
    def read(cls, path: pathlib.Path) -> Self:
        """Return what was written; raises FileNotFoundError and MsgspecError."""
        return msgspec.json.decode(path.read_bytes(), type=cls)
