"""Description of a log event."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A numbered kind of log event.

    ``level`` is a level name of ``logging`` in lower case; ``fields`` are the names of
    the values that each occurrence has.
    """

    number: int
    name: str
    level: str
    fields: tuple[str, ...] = ()
