"""What one start of an endpoint has said of itself."""

from __future__ import annotations


class EndpointNotices:
    """Knows whether an endpoint leaves; times are in monotonic seconds."""

    def __init__(self) -> None:
        self.leaving_since: float | None = None
        """Time from which on the endpoint is known to leave; it does not come back."""

    def record_leaving(self, now: float) -> bool:
        """Record that it said it leaves; return whether that is new."""
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True
