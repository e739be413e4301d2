"""Settings of budget allocation."""

from __future__ import annotations

from typing import Literal

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class BudgetSettings(StrictModel):
    """How keepers take budget tokens from the log as grants; see docs/design.

    A keeper aims to hold the demand of the next ``horizon_seconds``, and at least
    ``minimum_grant_tokens``.

    ``weigh`` says which error costs the deployment more. ``overspend`` keeps grants
    small, so that few tokens are stranded (unusable) when their holder fails.
    ``false_refusals`` multiplies the horizon, so that few requests are refused while
    the platform is unavailable.

    A ``witnessed`` grant is unlocked step by step: past its unlocked limit, the holder
    needs the consent of its witness, a keeper of another data centre if there is one.
    The witness releases the rest once the holder has failed.

    Budgets and request claims are distributed over ``shards`` log streams each.
    """

    weigh: Literal["overspend", "false_refusals"] = "overspend"
    horizon_seconds: float = pydantic.Field(default=10.0, gt=0, le=3600)
    minimum_grant_tokens: int = pydantic.Field(default=2_000, ge=1)
    witnessed: bool = True
    shards: int = pydantic.Field(default=4, ge=1, le=4096)
