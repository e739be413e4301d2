"""An order to a model engine."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """``action`` is load, unload or role; ``fence`` grows with each order issued."""

    fence: int
    action: str
    model: str
    version: str = ""
    adapter: str = ""
    role: str = ""
