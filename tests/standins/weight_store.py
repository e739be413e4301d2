"""Stand-in for the platform's weight store."""

from __future__ import annotations

import msgspec

from knapweeddrum.platform.fetch_body import FetchBody
from tests.standins.incoming_request import IncomingRequest
from tests.standins.rate_limit import RateLimit
from tests.standins.responder import Responder
from tests.standins.serving import run_command
from tests.standins.stand_in import StandIn
from tests.standins.weight_store_switches import WeightStoreSwitches


class WeightStoreStandIn(StandIn[WeightStoreSwitches]):
    """Admits fetches up to a rate and records them."""

    def __init__(self) -> None:
        self.switches = WeightStoreSwitches()
        self.fetches: list[FetchBody] = []
        self._rate = RateLimit()

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Reserve a fetch."""
        if self.switches.outage:
            await responder.error(503, "outage")
            return
        if (req.method, req.path) != ("POST", "/v1/fetches"):
            await responder.error(404, "no such resource")
            return
        if not self._rate.admit(self.switches.fetches_per_second):
            wait = self.switches.retry_after_seconds
            await responder.error(429, "too many fetches", retry_after=wait)
            return
        self.fetches.append(msgspec.json.decode(req.body, type=FetchBody))
        await responder.json(200, {})

    def records(self) -> object:
        """Return the admitted fetches."""
        return {"fetches": self.fetches}


if __name__ == "__main__":
    run_command(WeightStoreStandIn, __doc__)
