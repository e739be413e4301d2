"""Identity of a resource."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ResourceId:
    """Kind and name."""

    kind: str
    name: str
