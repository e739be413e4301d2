"""Encoded state of the claim fold."""

from __future__ import annotations

import msgspec


class ClaimEntryState(msgspec.Struct, frozen=True, array_like=True):
    """One claim key, as in ``ClaimEntry``."""

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
    """All claim keys, by time, then key, and the log's time (s) of the last prune."""

    time: float
    entries: tuple[ClaimEntryState, ...]
    version: int = 1
