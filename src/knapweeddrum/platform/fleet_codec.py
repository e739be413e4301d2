"""Codec of what hosts share through the store: heartbeats, claims, crash records."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.streams.version_record import VersionRecord
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.value.documents import Count, MalformedDocumentError, decode_json
from knapweeddrum.value.host_record import HostRecord

KEY_SEPARATOR = "|"
VERSIONS_KEY = "|versions"
"""Key among the heartbeats under which hosts record the services' versions."""


def encode_heartbeat(record: HostRecord) -> KeyedRecord:
    """Return the record of a heartbeat: key is the host's name, value a JSON object."""
    return KeyedRecord(record.name, msgspec.json.encode(record))


def decode_heartbeat(record: KeyedRecord) -> HostRecord | None:
    """Return a heartbeat, None for a removed one; raises MalformedRecordError."""
    if record.value is None:
        return None
    try:
        host = decode_json(record.value, HostRecord)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"heartbeat of {record.key}: {exc}") from exc
    if host.name != record.key:
        raise MalformedRecordError(f"heartbeat of {record.key}: key and name differ")
    return host


def encode_version_record(record: VersionRecord) -> KeyedRecord:
    """Return the record of the services' versions: value is a JSON object."""
    return KeyedRecord(VERSIONS_KEY, msgspec.json.encode(record))


def decode_version_record(record: KeyedRecord) -> VersionRecord:
    """Decode the record of the services' versions; raises MalformedRecordError."""
    try:
        return decode_json(record.value or b"", VersionRecord)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"versions of services: {exc}") from exc


def encode_token_claim(claim: TokenClaim) -> KeyedRecord:
    """Return the record of a claim on prepaid tokens.

    The key is ``organisation|incarnation``. The value is a JSON array of the tokens
    claimed, committed and unlocked, and the witness.
    """
    key = f"{claim.organisation}{KEY_SEPARATOR}{claim.incarnation}"
    value = [claim.claimed, claim.committed, claim.unlocked, claim.witness]
    return KeyedRecord(key, msgspec.json.encode(value))


def decode_token_claim(record: KeyedRecord) -> TokenClaim:
    """Decode a claim on prepaid tokens; raises MalformedRecordError."""
    organisation, separator, incarnation = record.key.rpartition(KEY_SEPARATOR)
    try:
        claimed, committed, unlocked, witness = decode_json(
            record.value or b"", tuple[Count, Count, Count, str]
        )
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"claim {record.key}: {exc}") from exc
    if not separator:
        raise MalformedRecordError(f"claim {record.key}: the key has no incarnation")
    return TokenClaim(organisation, incarnation, claimed, committed, unlocked, witness)


def encode_crash_record(record: CrashRecord) -> KeyedRecord:
    """Return the record of a request's crashes: key is its fingerprint, value JSON."""
    return KeyedRecord(record.fingerprint, msgspec.json.encode(record))


def encode_crash_record_removal(fingerprint: str) -> KeyedRecord:
    """Return the record that removes a request's crashes."""
    return KeyedRecord(fingerprint, None)


def decode_crash_record(record: KeyedRecord) -> CrashRecord:
    """Decode a request's crashes; raises MalformedRecordError."""
    try:
        decoded = decode_json(record.value or b"", CrashRecord)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"crash record {record.key}: {exc}") from exc
    if decoded.fingerprint != record.key:
        raise MalformedRecordError(f"crash record {record.key}: key and value differ")
    return decoded
