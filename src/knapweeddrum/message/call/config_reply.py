"""Configuration changes."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.resource_record import ResourceRecord


class ConfigReply(msgspec.Struct, frozen=True):
    """Resources changed after the asked offset, in order; all with ``snapshot``.

    ``offset`` is the offset up to which the reply is complete; -1 means that the
    keeper has no state yet.
    """

    offset: int
    resources: tuple[ResourceRecord, ...]
    snapshot: bool = False
