"""Codec of the stream of claims on prepaid tokens.

Beside the claims the stream holds what hosts tell after the store came back from an
older copy. Hosts of the version before ignore those records.
"""

from __future__ import annotations

import msgspec

from knapweeddrum.core.prepaid.claim_check_in import ClaimCheckIn
from knapweeddrum.core.prepaid.claim_opening import ClaimOpening
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.fleet_codec import decode_token_claim
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.value.documents import MalformedDocumentError, decode_json

CHECK_IN_PREFIX = "|check-in|"
OPENING_KEY = "|opening"
SKIP_KEY = "|skip"
"""Key of records that only take up an offset."""

SKIP_RECORD = KeyedRecord(SKIP_KEY, b"0")

ClaimRecord = TokenClaim | ClaimCheckIn | ClaimOpening


def encode_check_in(check_in: ClaimCheckIn) -> KeyedRecord:
    """Return the record of a check-in: value is a JSON object."""
    key = f"{CHECK_IN_PREFIX}{check_in.incarnation}"
    return KeyedRecord(key, msgspec.json.encode(check_in))


def encode_check_in_removal(incarnation: str) -> KeyedRecord:
    """Return the record that removes a check-in."""
    return KeyedRecord(f"{CHECK_IN_PREFIX}{incarnation}", None)


def encode_opening(opening: ClaimOpening) -> KeyedRecord:
    """Return the record of an opening: value is a JSON object."""
    return KeyedRecord(OPENING_KEY, msgspec.json.encode(opening))


def decode_claim_record(record: KeyedRecord) -> ClaimRecord | None:
    """Decode a record of the stream, None for one that tells nothing.

    Raises MalformedRecordError.
    """
    if record.key == SKIP_KEY:
        return None
    try:
        if record.key == OPENING_KEY:
            return decode_json(record.value or b"", ClaimOpening)
        if record.key.startswith(CHECK_IN_PREFIX):
            return _decode_check_in(record)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"record {record.key}: {exc}") from exc
    return decode_token_claim(record)


def _decode_check_in(record: KeyedRecord) -> ClaimCheckIn | None:
    if record.value is None:
        return None
    check_in = decode_json(record.value, ClaimCheckIn)
    if record.key != f"{CHECK_IN_PREFIX}{check_in.incarnation}":
        raise MalformedRecordError(f"check-in {record.key}: key and value differ")
    return check_in
