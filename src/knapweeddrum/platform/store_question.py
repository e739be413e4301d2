"""A call to the platform's store and its answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreQuestion:
    """What a call asks.

    ``kind`` is ``append``, ``read`` or ``newest``. The store may hold the answer back
    for ``wait`` seconds.
    """

    kind: str
    stream: str
    method: bytes
    target: bytes
    body: bytes = b""
    wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """The answer, of which the end is missing if it is not whole."""

    status: int
    body: bytes
    era: int
    is_whole: bool = True
