"""What the fold keeps of one claim key."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.claim.claim_state import ClaimState


@dataclasses.dataclass(slots=True)
class ClaimEntry:
    """The latest claim of a key, its outcome, and the claimants that ended not run.

    ``claimant`` is the winner, or the last one with the state ``not_run``. ``body``
    is None once it is no longer kept. ``time`` is the log's time (s) of the last
    change.
    """

    time: float
    claimant: str
    fingerprint: str
    state: ClaimState = ClaimState.PENDING
    ended: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    body: bytes | None = None

    @property
    def is_unresolved(self) -> bool:
        """Tell whether the request may still be dispatched or may have run."""
        return self.state in {ClaimState.PENDING, ClaimState.UNKNOWN}

    def is_mismatch(self, fingerprint: str) -> bool:
        """Tell whether the key was claimed with another request.

        The fingerprint is empty while the key was only given up, never claimed.
        """
        return bool(self.fingerprint) and self.fingerprint != fingerprint
