"""Description of a log event."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A numbered log event: level as in ``logging``, and the names of its fields."""

    number: int
    name: str
    level: str
    fields: tuple[str, ...] = ()
