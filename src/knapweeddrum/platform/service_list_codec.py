"""Decodes the JSON entries of endpoints in the service list."""

from __future__ import annotations

import ipaddress
import re

import msgspec

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.value.documents import (
    MAX_MEASURE,
    Count,
    MalformedDocumentError,
    decode_json,
)

MAX_VERSION_CHARS = 128
ENDPOINT_STATES = frozenset({"ready", "draining"})
ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
MAX_PORT = 65_535


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    zone: str
    slots: Count
    state: str
    seq: int
    version: object = None
    """Version of the endpoint's software."""
    cold: object = msgspec.field(name="coldRemainingMs", default=0)
    """Milliseconds for which the endpoint stays cold."""
    born: Count = 0
    """Unix time of the endpoint's start in milliseconds."""


def decode_endpoint_entry(endpoint_id: str, body: bytes) -> EndpointEntry:
    """Decode an entry; raises MalformedRecordError if its format is invalid."""
    try:
        entry = decode_json(body, _Entry)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"entry {endpoint_id}: {exc}") from exc
    if entry.state not in ENDPOINT_STATES:
        raise MalformedRecordError(
            f"entry {endpoint_id}: unknown state {entry.state!r}"
        )
    if not _is_address(entry.address):
        raise MalformedRecordError(
            f"entry {endpoint_id}: invalid address {entry.address!r}"
        )
    return EndpointEntry(
        endpoint_id=endpoint_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        draining=entry.state == "draining",
        software_version=_decode_version(entry.version),
        started_at_ms=entry.born,
        number=entry.seq,
        cold_remaining=_decode_milliseconds(entry.cold),
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that a socket takes."""
    found = ADDRESS_PATTERN.fullmatch(text)
    if found is None or not 0 < int(found.group(2)) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(found.group(1))
    except ValueError:
        return False
    return True


def _decode_milliseconds(value: object) -> float | None:
    """Return the seconds, None unless the value is a number that is not negative."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value / 1000 if 0 <= value <= MAX_MEASURE else None


def _decode_version(value: object) -> str:
    """Return the version, UNKNOWN_VERSION unless it is a text of usual length."""
    if isinstance(value, str) and len(value) <= MAX_VERSION_CHARS:
        return value
    return UNKNOWN_VERSION
