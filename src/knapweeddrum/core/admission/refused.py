"""The decision to refuse a request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; the refusal says when it may be retried."""

    request_id: str
    refusal: Refusal
