"""Binary format of keyed records in the platform's store.

A record is its length (4 bytes, big-endian), the length of its key (1 byte), the key in
UTF-8 and the value; an empty value removes the key. A page starts with the end of the
stream and the oldest offset kept (8 bytes each, big-endian).
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.value.store_position import (
    OFFSET_MASK,
    era_of,
    offset_of,
    store_position,
)

LENGTH_PREFIX = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")


def encode_records(records: Iterable[KeyedRecord]) -> bytes:
    """Return the body of an append: the records one after the other."""
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        content = bytes([len(key)]) + key + (record.value or b"")
        parts += (LENGTH_PREFIX.pack(len(content)), content)
    return b"".join(parts)


def decode_page(body: bytes, start: int, *, is_whole: bool = True) -> StorePage:
    """Decode the reply to a read from position ``start``.

    Records with an invalid key are left out. Raises MalformedRecordError if the page
    is truncated; one that is known not to be whole must have a record.
    """
    if len(body) < PAGE_HEADER.size:
        raise MalformedRecordError("page is shorter than its header")
    end, first = PAGE_HEADER.unpack_from(body)
    if max(end, first) > OFFSET_MASK:
        raise MalformedRecordError("page has offsets that no stream has")
    records = []
    era = era_of(start)
    offset = max(offset_of(start), first)
    position = PAGE_HEADER.size
    while position < len(body):
        if position + LENGTH_PREFIX.size > len(body):
            if not is_whole:
                break
            raise MalformedRecordError("page ends within the length of a record")
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        position += LENGTH_PREFIX.size
        content = body[position : position + length]
        if len(content) != length:
            if not is_whole:
                break
            raise MalformedRecordError("page ends within a record")
        position += length
        record = _decode_record(content, store_position(era, offset))
        if record is not None:
            records.append(record)
        offset += 1
    next_position = store_position(era, offset)
    if not is_whole and offset == max(offset_of(start), first):
        raise MalformedRecordError("page was cut within its first record")
    return StorePage(tuple(records), next_position, complete=offset >= end)


def _decode_record(content: bytes, position: int) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    size = 1 + content[0]
    try:
        key = content[1:size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[size:] or None, position)
