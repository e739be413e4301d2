"""Codec of the records of what hosts may spend."""

from __future__ import annotations

import zlib

import msgspec

from knapweeddrum.message.call.spending_record import SpendingRecord
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

SPENDING_STREAM_PREFIX = "keyed.spending."
SPENDING_STREAMS = 64
"""Streams among which hosts are spread, as those of one wait for each other."""


def spending_stream(host_name: str) -> str:
    """Return the stream that the incarnations of a host write to."""
    number = zlib.crc32(host_name.encode()) % SPENDING_STREAMS
    return f"{SPENDING_STREAM_PREFIX}{number}"


def encode_spending(record: SpendingRecord) -> KeyedRecord:
    """Return the record of an incarnation: value is a JSON object."""
    return KeyedRecord(record.incarnation, msgspec.json.encode(record))


def encode_spending_removal(incarnation: str) -> KeyedRecord:
    """Return the record that removes that of an incarnation."""
    return KeyedRecord(incarnation, None)


def decode_spending(record: KeyedRecord) -> SpendingRecord:
    """Decode a record of what may be spent; raises MalformedRecordError."""
    try:
        decoded = decode_json(record.value or b"", SpendingRecord)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"spending of {record.key}: {exc}") from exc
    if decoded.incarnation != record.key:
        raise MalformedRecordError(f"spending of {record.key}: key and value differ")
    return decoded
