"""Acknowledgement of a drain request."""

from __future__ import annotations

import msgspec


class DrainReply(msgspec.Struct, frozen=True):
    """``accepted`` is true once the keeper of the host has recorded the request."""

    accepted: bool
