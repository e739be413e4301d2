"""How the end of a message body is marked."""

from __future__ import annotations

import enum


class BodyFraming(enum.StrEnum):
    """What tells the receiver that a body has ended."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, which a failure of the sender causes as well."""
