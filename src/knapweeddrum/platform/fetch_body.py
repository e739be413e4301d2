"""Body of a reservation at the weight store."""

from __future__ import annotations

import msgspec


class FetchBody(msgspec.Struct, frozen=True):
    """Model and version to fetch."""

    model: str
    version: str
