"""A part of a checkpoint of the state rebuilt from a stream."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class CheckpointPart(Fact, frozen=True, tag="checkpoint_part"):
    """Part ``index`` (from 0) of ``count`` of the state after offset ``covers``.

    ``body`` is a section of the encoded state.
    """

    checkpoint_id: str
    covers: int
    index: int
    count: int
    body: bytes
