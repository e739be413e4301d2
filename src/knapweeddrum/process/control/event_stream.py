"""A streaming response of server-sent events."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncGenerator


@dataclasses.dataclass(frozen=True, slots=True)
class EventStream:
    """Encoded events, sent as they come until the iterator ends."""

    events: AsyncGenerator[bytes, None]
