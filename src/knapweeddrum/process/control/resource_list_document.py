"""The JSON form of a list of resources."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.control.resource_document import ResourceDocument


class ResourceListDocument(msgspec.Struct, frozen=True):
    """Resources of one kind sorted by name, as of log offset ``offset``."""

    offset: int
    resources: tuple[ResourceDocument, ...]
