"""The body of a top-up."""

from __future__ import annotations

import pydantic

TOP_UP_TOKENS_LIMIT = 10**15
"""Tokens of one top-up."""


class TopUpDocument(pydantic.BaseModel):
    """Deposit of ``tokens`` into a budget; the identifier makes a repeat harmless."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    topup_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9._:-]{1,128}$")
    budget: str = pydantic.Field(min_length=3, max_length=129)
    tokens: int = pydantic.Field(ge=1, le=TOP_UP_TOKENS_LIMIT, strict=True)
