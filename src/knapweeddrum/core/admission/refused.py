"""The decision to refuse a request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; the refusal says when to come back."""

    request_id: str
    refusal: Refusal
