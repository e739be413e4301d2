"""Messages between two hosts on what began streams."""

from __future__ import annotations

import msgspec


class StreamOriginRecord(msgspec.Struct, frozen=True):
    """The service and software version that began the stream of a key."""

    key: str
    service: str
    software_version: str


class StreamOriginNotice(msgspec.Struct, frozen=True):
    """Origins that a host is to remember."""

    records: tuple[StreamOriginRecord, ...]


class StreamOriginReceipt(msgspec.Struct, frozen=True):
    """Reply to a notice: how many of its origins were new."""

    new: int


class StreamOriginQuestion(msgspec.Struct, frozen=True):
    """Asks what began a stream; ``services`` are those that may have."""

    key: str
    services: tuple[str, ...]


class StreamOriginReply(msgspec.Struct, frozen=True):
    """What a host knows of a stream, None for nothing.

    ``sole_version`` is the version at which any stream of the one service that was
    asked about must have begun, None if several may have.
    """

    record: StreamOriginRecord | None
    sole_version: str | None
