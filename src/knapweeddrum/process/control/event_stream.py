"""A streaming response of server-sent events."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncGenerator


@dataclasses.dataclass(frozen=True, slots=True)
class EventStream:
    """Encoded events, each sent once the generator yields it."""

    events: AsyncGenerator[bytes, None]
