"""Decoding of documents that come from outside this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

DocumentT = TypeVar("DocumentT")

MAX_COUNT = 2**53
"""Largest whole number that every JSON library reads exactly."""

MAX_POSITION = 2**62
"""Highest position in a stream of the store, in any era."""

MAX_MEASURE = 1e15
"""Largest measure, of seconds or rates, that arithmetic on measures bears."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Whole number that is not negative."""

SignedCount = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
"""Whole number that may be negative."""

Position = Annotated[int, msgspec.Meta(ge=0, le=MAX_POSITION)]
"""Position in a stream of the store, see ``store_position``."""

Measure = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEASURE)]
"""Number that is not negative."""


class MalformedDocumentError(Exception):
    """Bytes are no document of the expected form."""


def decode_json(body: bytes, kind: type[DocumentT]) -> DocumentT:
    """Decode a JSON document; raises MalformedDocumentError for any other bytes."""
    return decode_with(lambda data: msgspec.json.decode(data, type=kind), body)


def decode_message_pack(body: bytes, kind: type[DocumentT]) -> DocumentT:
    """Decode a MessagePack document; raises MalformedDocumentError for other bytes."""
    return decode_with(lambda data: msgspec.msgpack.decode(data, type=kind), body)


def decode_with(decode: Callable[[bytes], DocumentT], body: bytes) -> DocumentT:
    """Decode a document with ``decode`` of msgspec; raises MalformedDocumentError."""
    try:
        return decode(body)
    except RecursionError as exc:
        # No error of msgspec; it may come from values in unknown fields too.
        raise MalformedDocumentError("values are nested too deep") from exc
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise MalformedDocumentError(str(exc)) from exc
