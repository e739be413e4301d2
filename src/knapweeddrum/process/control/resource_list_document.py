"""The JSON form of a list of resources."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.control.resource_document import ResourceDocument


class ResourceListDocument(msgspec.Struct, frozen=True):
    """Resources sorted by name, complete up to log offset ``offset``."""

    offset: int
    resources: tuple[ResourceDocument, ...]
