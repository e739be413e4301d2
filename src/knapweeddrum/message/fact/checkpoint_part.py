"""A part of a checkpoint of the state rebuilt from a stream."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class CheckpointPart(Fact, frozen=True, tag="checkpoint_part"):
    """One of the ``count`` parts of an encoded state; ``index`` counts from 0.

    The state is the result of all records up to offset ``covers``, this one included.
    """

    checkpoint_id: str
    covers: int
    index: int
    count: int
    body: bytes
