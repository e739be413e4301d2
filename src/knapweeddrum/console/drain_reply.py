"""A drain request as the resource API takes and confirms it."""

from __future__ import annotations

import msgspec


class DrainBody(msgspec.Struct, frozen=True):
    """Body of the request."""

    draining: bool


class DrainReply(msgspec.Struct, frozen=True):
    """The drain state that the keeper of the host has accepted."""

    host: str
    draining: bool
