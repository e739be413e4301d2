"""How the end of a message body is marked."""

from __future__ import annotations

import enum

from knapweeddrum.http.header_list import HeaderList


class BodyFraming(enum.StrEnum):
    """What tells the receiver that a body has ended."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, which a failure of the sender causes as well."""


def reply_framing(headers: HeaderList, http_version: bytes) -> BodyFraming:
    """Return the framing of a reply that has a body."""
    if http_version >= b"1.1" and headers.text(b"transfer-encoding"):
        return BodyFraming.CHUNKS
    if headers.get(b"content-length") is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION
