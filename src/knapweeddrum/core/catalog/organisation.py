"""An organisation whose callers hold API keys."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; ``prepaid`` is in tokens, None for no limit."""

    name: str
    api_keys: frozenset[str]
    priority: int | None = None
    prepaid: int | None = None
