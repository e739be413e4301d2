"""The decision to admit a request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot until its release; ``waited`` is in seconds."""

    request_id: str
    waited: float = 0.0
