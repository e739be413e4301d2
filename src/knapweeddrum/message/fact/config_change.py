"""A change of one configuration resource."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class ConfigChange(Fact, frozen=True, tag="config_change"):
    """Replaces version ``base_version`` of a resource; version 0 creates it.

    A repeat of ``change_id`` changes nothing. ``body`` is the JSON of the validated
    specification, empty with ``deleted``.
    """

    change_id: str
    resource_kind: str
    name: str
    base_version: int
    author: str
    body: bytes = b""
    deleted: bool = False
