"""Ledger entry of one claim key."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.claim.request_claim_state import RequestClaimState


@dataclasses.dataclass(slots=True)
class RequestClaimEntry:
    """The latest claim of a key and its outcome.

    ``claimant`` is the winner, or the last one that ended with ``not_run``.
    ``not_run_claimants`` are all that ended so. ``status``, ``content_type`` and
    ``body`` are the recorded answer; ``body`` is None if it is not kept. ``time`` is
    the log time of the last change, in seconds.
    """

    time: float
    claimant: str
    fingerprint: str
    state: RequestClaimState = RequestClaimState.PENDING
    not_run_claimants: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    body: bytes | None = None

    @property
    def is_unresolved(self) -> bool:
        """Return whether the request may still be dispatched or may have run."""
        return self.state in {RequestClaimState.PENDING, RequestClaimState.UNKNOWN}

    def is_mismatch(self, fingerprint: str) -> bool:
        """Return whether the key was claimed with another request.

        The entry's fingerprint is empty if ``not_run`` was recorded before any claim.
        """
        return bool(self.fingerprint) and self.fingerprint != fingerprint
