"""A batch of facts: the payload of one log record."""

from __future__ import annotations

import msgspec


class Batch(msgspec.Struct, frozen=True):
    """Facts of one writer, appended together.

    ``writer`` and ``sequence`` identify the batch: an append that is repeated after a
    lost reply has the same pair, and readers drop the second copy. Each fact stays
    encoded, so that readers can skip a kind that their version does not know.
    """

    writer: str
    sequence: int
    facts: tuple[msgspec.Raw, ...]
    version: int = 1
