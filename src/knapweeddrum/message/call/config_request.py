"""A process's request to its keeper for the latest configuration changes."""

from __future__ import annotations

import msgspec


class ConfigRequest(msgspec.Struct, frozen=True):
    """Asks for changes after log offset ``after``.

    The keeper waits up to ``wait`` seconds for a change before it replies. ``reader``
    is the incarnation of the asking process, which has applied all changes up to
    ``after``.
    """

    after: int
    wait: float
    reader: str = ""
