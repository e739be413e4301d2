"""Error that ends a request with a refusal."""

from __future__ import annotations

from knapweeddrum.value.refusal import Refusal


class RefusedError(Exception):
    """The entry process answers a request itself, with ``refusal``."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
