"""Unlocking of claimed prepaid tokens by a witness.

A witness is another process whose consent the holder of a claim needs before it spends
past its unlocked limit; the witness releases the rest once the holder has failed.
"""

from __future__ import annotations

import msgspec

from knapweeddrum.value.documents import Count


class UnlockedLimit(msgspec.Struct, frozen=True):
    """``mark`` is the total up to which the holder may spend tokens."""

    organisation: str
    mark: Count


class TokenUnlockRequest(msgspec.Struct, frozen=True):
    """Asks a witness to raise the unlocked limits of a holder."""

    holder: str
    """Incarnation of the holder."""
    witness: str
    """Incarnation that is asked; a later one at the same address can't consent."""
    marks: list[UnlockedLimit]
    era: Count = 0
    """Newest era of the store in which the holder knew all claims."""


class TokenUnlockReply(msgspec.Struct, frozen=True):
    """Organisations for which the witness unlocks no more; the others are unlocked."""

    refused: list[str]


class WitnessDeparture(msgspec.Struct, frozen=True):
    """Notice of a witness that stops and releases no more claims.

    The holder may then spend all that it has claimed with this witness, except for the
    organisations in ``freed``.
    """

    witness: str
    freed: list[str]
    """Organisations whose locked tokens it has already released from the holder."""
