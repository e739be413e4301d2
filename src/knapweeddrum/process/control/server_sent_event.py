"""Encoding of server-sent events."""

from __future__ import annotations

import msgspec


def encode_event(event: str, data: msgspec.Struct, offset: int | None = None) -> bytes:
    """Return an event; its ``offset`` is the identifier from which clients resume."""
    lines = [f"event: {event}".encode()]
    if offset is not None:
        lines.append(f"id: {offset}".encode())
    lines.append(b"data: " + msgspec.json.encode(data))
    return b"\n".join(lines) + b"\n\n"


def encode_position(offset: int) -> bytes:
    """Return a comment and the offset from which clients resume, without an event."""
    return f": idle\nid: {offset}\n\n".encode()
