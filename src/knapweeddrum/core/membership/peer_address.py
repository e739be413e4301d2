"""Address of the keeper of a peer."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.identifiers import HostName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """IP address and keeper port of a peer."""

    host: HostName
    address: str
    keeper_port: int
