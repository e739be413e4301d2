"""The decision not to attempt a request again."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this refusal."""

    refusal: Refusal
