"""What one run of a request consumed."""

from __future__ import annotations

import msgspec


class Settlement(msgspec.Struct, frozen=True):
    """Tokens to charge to a grant; the fields are those of the fact ``Bill``."""

    request_key: str
    run_id: str
    budget: str
    grant_id: str
    tokens: int
    outcome: str
