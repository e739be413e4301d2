"""A resource as the resource API returns it."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from knapweeddrum.console.table import Table


class ResourceReply(msgspec.Struct, frozen=True):
    """A version of a resource; ``spec`` is JSON, null once deleted."""

    kind: str
    name: str
    version: int
    offset: int
    deleted: bool
    spec: msgspec.Raw

    def row(self) -> tuple[str, ...]:
        """Return the cells of the table row."""
        spec = bytes(self.spec).decode()
        return (self.kind, self.name, str(self.version), str(self.offset), spec)


HEADING = ("KIND", "NAME", "VERSION", "OFFSET", "SPEC")


def resource_table(resources: Sequence[ResourceReply]) -> Table:
    """Return a table with a row for each resource."""
    return Table(HEADING, tuple(resource.row() for resource in resources))
