"""What a host tells the others of a data centre that was emptied."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.documents import Position


@dataclasses.dataclass(frozen=True, slots=True)
class ToldDataCentre:
    """The newest record of a data centre that a host knows."""

    name: str
    position: Position
    """Position of the record in its stream of the store."""
    is_emptied: bool
    """Whether it gets no new work; otherwise it was taken back."""
