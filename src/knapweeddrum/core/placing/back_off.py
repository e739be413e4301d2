"""The time for which an endpoint wants no requests from a host."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BackOff:
    """``seconds`` is None if what the endpoint said is meaningless."""

    seconds: float | None
