"""Encoded state of the request claim ledger."""

from __future__ import annotations

import msgspec


class RequestClaimEntryState(msgspec.Struct, frozen=True, array_like=True):
    """One claim key, as in ``RequestClaimEntry``; encoded as an array."""

    time: float
    claim_key: str
    claimant: str
    fingerprint: str
    state: str
    not_run_claimants: tuple[str, ...]
    status: int
    content_type: str
    body: bytes | None


class RequestClaimLedgerState(msgspec.Struct, frozen=True, array_like=True):
    """All claim keys, sorted by time, then key; encoded as an array in this order.

    ``time`` is the log time of the last prune, in seconds.
    """

    time: float
    entries: tuple[RequestClaimEntryState, ...]
    version: int = 1
