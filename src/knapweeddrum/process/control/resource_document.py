"""The JSON form of a resource."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.resource_record import ResourceRecord

EMPTY_SPEC = msgspec.Raw(b"null")


class ResourceDocument(msgspec.Struct, frozen=True):
    """A resource in the API; ``spec`` is null when the resource is deleted."""

    kind: str
    name: str
    version: int
    offset: int
    deleted: bool
    spec: msgspec.Raw

    @classmethod
    def from_record(cls, record: ResourceRecord) -> ResourceDocument:
        """Return the document of a record."""
        return cls(
            kind=record.resource_kind,
            name=record.name,
            version=record.version,
            offset=record.offset,
            deleted=record.deleted,
            spec=msgspec.Raw(record.body) if record.body else EMPTY_SPEC,
        )
