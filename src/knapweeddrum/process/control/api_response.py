"""A complete response of the resource API."""

from __future__ import annotations

import dataclasses

import msgspec

from knapweeddrum.process.control.header import Header


@dataclasses.dataclass(frozen=True, slots=True)
class ApiResponse:
    """Status, body and the headers besides Content-Type and Content-Length."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[Header, ...] = ()


def json_response(status: int, document: msgspec.Struct) -> ApiResponse:
    """Return a response with the document as JSON."""
    return ApiResponse(status, msgspec.json.encode(document))
