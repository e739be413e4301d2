"""How the endpoints of a service are ramped up."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRamp:
    """An endpoint takes ``per_second`` requests from all hosts while it is cold."""

    per_second: float
    start_seconds: float
    """Time for which it is cold after its start, if its entry doesn't tell."""
