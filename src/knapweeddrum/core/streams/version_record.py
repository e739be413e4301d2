"""What hosts tell later ones of the software versions of services."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.documents import Measure, Position


@dataclasses.dataclass(frozen=True, slots=True)
class SoleVersion:
    """A service has listed a single software version for so many seconds at least."""

    service: str
    software_version: str
    seconds: Measure


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """The services with a single version, by the service list before an offset."""

    list_offset: Position
    sole: tuple[SoleVersion, ...]
