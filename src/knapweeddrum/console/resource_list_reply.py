"""A list of resources as the resource API returns it."""

from __future__ import annotations

import msgspec

from knapweeddrum.console.resource_reply import ResourceReply


class ResourceListReply(msgspec.Struct, frozen=True):
    """Resources with all changes up to ``offset`` of the configuration log applied."""

    offset: int
    resources: tuple[ResourceReply, ...]
