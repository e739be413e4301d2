"""Addresses of one entry host."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import DataCentre, HostName


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddress:
    """An entry host: IP address and the port of each of its processes."""

    host: HostName
    data_centre: DataCentre
    address: str
    router_port: int
    keeper_port: int
    control_port: int
