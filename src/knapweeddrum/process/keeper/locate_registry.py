"""Locations of running requests, as reported by routers."""

from __future__ import annotations

import collections
import dataclasses

from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest

LOCATION_LIFETIME_SECONDS = 600.0
LOCATION_LIMIT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Location:
    router: str
    endpoint: str
    run_id: str
    recorded_at: float


class LocateRegistry:
    """A bounded table of the router, endpoint and run of each request.

    A router looks up a repeated request to join its run. If the entry is lost, the
    request may run twice, but the budget ledger bills only the first run.
    """

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, _Location] = (
            collections.OrderedDict()
        )

    def handle(self, req: LocateRequest, now: float) -> LocateReply:
        """Record or forget where a request runs; return the location known before."""
        self._expire(now)
        known = self._entries.get(req.request_key)
        if req.finished:
            self._entries.pop(req.request_key, None)
        elif req.endpoint:
            self._entries[req.request_key] = _Location(
                req.router, req.endpoint, req.run_id, now
            )
            self._entries.move_to_end(req.request_key)
        if known is None:
            return LocateReply()
        return LocateReply(known.router, known.endpoint, known.run_id)

    def _expire(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            fresh = now - oldest.recorded_at < LOCATION_LIFETIME_SECONDS
            if fresh and len(self._entries) <= LOCATION_LIMIT:
                return
            self._entries.popitem(last=False)
