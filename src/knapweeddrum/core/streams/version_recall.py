"""Which services had a single software version before this host started."""

from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.core.streams.endpoint_history import STREAM_MEMORY_SECONDS
from knapweeddrum.core.streams.version_record import SoleVersion, VersionRecord


class VersionRecall:
    """Joins what an earlier host recorded with all entries that were written since.

    Without a record the entries must be all that were ever written.
    """

    def __init__(self, record: VersionRecord | None) -> None:
        self._record = record
        self._listed: dict[str, set[str]] = {}

    @property
    def first_offset(self) -> int:
        """Return the offset of the first entry that has to be applied."""
        return self._record.list_offset if self._record is not None else 0

    def apply(self, entry: EndpointEntry) -> None:
        """Apply an entry, in any order."""
        self._listed.setdefault(entry.service, set()).add(entry.software_version)

    def sole_versions(self) -> list[SoleVersion]:
        """Return the services that had a single version, by name."""
        if self._record is None:
            return [
                SoleVersion(service, next(iter(versions)), STREAM_MEMORY_SECONDS)
                for service, versions in sorted(self._listed.items())
                if len(versions) == 1 and UNKNOWN_VERSION not in versions
            ]
        return [
            sole
            for sole in self._record.sole
            if self._listed.get(sole.service, set()) <= {sole.software_version}
        ]
