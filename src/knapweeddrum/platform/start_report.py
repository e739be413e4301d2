"""What an endpoint reports of its own start."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Count, MalformedDocumentError, decode_json

REPORT_TARGET = b"/-/report"
MAX_REPORT_BYTES = 65_536
OK_STATUS = 200


class _Report(msgspec.Struct, frozen=True):
    born: Count
    """Unix time of the endpoint's start in milliseconds."""


def decode_started_at(status: int, body: bytes) -> int | None:
    """Return the Unix time of the start in milliseconds, None if it isn't stated."""
    if status != OK_STATUS:
        return None
    try:
        return decode_json(body, _Report).born
    except MalformedDocumentError:
        return None
