"""An entry host in the platform's host list."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import HostName


@dataclasses.dataclass(frozen=True, slots=True)
class ListedMember:
    """Name, keeper address as IP number and port, and the list's leaving mark."""

    host: HostName
    address: str
    keeper_port: int
    leaving: bool = False
