"""Decodes the JSON entries of endpoints in the service list."""

from __future__ import annotations

import re

import msgspec

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.platform.exceptions import MalformedRecordError

ENDPOINT_STATES = frozenset({"ready", "draining"})
ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    seq: int
    born: int = 0
    """Unix time of the endpoint's start in milliseconds."""


def decode_endpoint_entry(endpoint_id: str, body: bytes) -> EndpointEntry:
    """Decode an entry; raises MalformedRecordError if its format is invalid."""
    try:
        entry = msgspec.json.decode(body, type=_Entry)
    except msgspec.MsgspecError as exc:
        raise MalformedRecordError(f"entry {endpoint_id}: {exc}") from exc
    if entry.state not in ENDPOINT_STATES:
        raise MalformedRecordError(
            f"entry {endpoint_id}: unknown state {entry.state!r}"
        )
    if ADDRESS_PATTERN.fullmatch(entry.address) is None:
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
        started_at_ms=entry.born,
    )
