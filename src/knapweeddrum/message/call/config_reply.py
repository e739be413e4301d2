"""Configuration changes."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.resource_record import ResourceRecord


class ConfigReply(msgspec.Struct, frozen=True):
    """Resources that changed after the requested offset, in the order of the log.

    With ``snapshot``, they are all resources, deleted ones included. ``offset`` is the
    log offset up to which the reply is complete. An ``offset`` of -1 means that the
    keeper has no state yet or, with ``snapshot``, that the log is empty.
    """

    offset: int
    resources: tuple[ResourceRecord, ...]
    snapshot: bool = False
