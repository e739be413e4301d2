"""Encoded state of the request claim ledger."""

from __future__ import annotations

import msgspec


class ClaimEntryState(msgspec.Struct, frozen=True, array_like=True):
    """One claim key, as in ``ClaimEntry``; encoded as an array in this order."""

    time: float
    claim_key: str
    claimant: str
    fingerprint: str
    state: str
    ended: tuple[str, ...]
    status: int
    content_type: str
    body: bytes | None


class ClaimFoldState(msgspec.Struct, frozen=True, array_like=True):
    """All claim keys, sorted by time, then key; encoded as an array in this order.

    ``time`` is the log time of the last prune, in seconds.
    """

    time: float
    entries: tuple[ClaimEntryState, ...]
    version: int = 1
