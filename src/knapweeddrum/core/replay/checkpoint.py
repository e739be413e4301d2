"""A complete checkpoint read from the log."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """The encoded state of a replay after all records up to the offset ``covers``."""

    checkpoint_id: str
    covers: int
    state: bytes
