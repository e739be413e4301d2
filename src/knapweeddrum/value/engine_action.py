"""Actions that a model engine can be ordered to take."""

from __future__ import annotations

import enum


class EngineAction(enum.StrEnum):
    """The action of an engine order."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"
