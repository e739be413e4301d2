"""Model of the resource ``organisation``."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from knapweeddrum.message.resource.organisation import Organisation
from knapweeddrum.process.control.model.resource_model import ResourceModel

KeyDigest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class OrganisationModel(ResourceModel):
    """A customer; ``key_digests`` are the SHA-256 digests of its keys in hex."""

    key_digests: tuple[KeyDigest, ...] = pydantic.Field(max_length=16)
    weight: int = pydantic.Field(default=1, ge=1, le=1_000)
    weigh: Literal["", "overspend", "false_refusals"] = ""

    def to_message(self) -> Organisation:
        """Return the specification as the other processes read it."""
        return Organisation(
            key_digests=self.key_digests, weight=self.weight, weigh=self.weigh
        )
