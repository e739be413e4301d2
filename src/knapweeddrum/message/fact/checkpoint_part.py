"""A part of a checkpoint of a stream's fold."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class CheckpointPart(Fact, frozen=True, tag="checkpoint_part"):
    """Part ``index`` of ``count`` of the state after all offsets up to ``covers``."""

    checkpoint_id: str
    covers: int
    index: int
    count: int
    body: bytes
