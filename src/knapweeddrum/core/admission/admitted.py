"""The decision to let a request go on."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot of its route until it is released."""

    request_id: str
    waited: float = 0.0
