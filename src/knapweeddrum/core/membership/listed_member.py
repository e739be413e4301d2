"""An entry host in the platform's host list."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import HostName


@dataclasses.dataclass(frozen=True, slots=True)
class ListedMember:
    """Name, IP address and keeper port of a host, and whether it is leaving."""

    host: HostName
    address: str
    keeper_port: int
    leaving: bool = False
