"""Settings of budget allocation."""

from __future__ import annotations

from typing import Literal

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class BudgetSettings(StrictModel):
    """How keepers draw budget tokens from the log; see docs/design.

    ``weigh`` says which error costs more: ``overspend`` keeps grants small, so that
    a dead host strands little; ``false_refusals`` grants further ahead, so that a
    platform outage refuses few. ``witnessed`` grants are opened part by part at a peer
    in another data centre, which can release the rest when their holder is silent.
    """

    weigh: Literal["overspend", "false_refusals"] = "overspend"
    horizon_seconds: float = pydantic.Field(default=10.0, gt=0, le=3600)
    minimum_grant_tokens: int = pydantic.Field(default=2_000, ge=1)
    witnessed: bool = True
    shards: int = pydantic.Field(default=4, ge=1, le=4096)
