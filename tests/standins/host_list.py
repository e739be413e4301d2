"""Stand-in for the platform's host list; ``PUT /-/hosts`` replaces the list."""

from __future__ import annotations

import time

import msgspec

from knapweeddrum.platform.hosts_reply import HostsReply
from tests.standins.host_list_switches import HostListSwitches
from tests.standins.incoming_request import IncomingRequest
from tests.standins.responder import Responder
from tests.standins.serving import run_command
from tests.standins.stand_in import StandIn
from tests.standins.timed_values import TimedValues

HOSTS_PATH = "/-/hosts"


class HostListStandIn(StandIn[HostListSwitches]):
    """A host list; a replaced list is only returned after ``lag_seconds``."""

    def __init__(self) -> None:
        self.switches = HostListSwitches()
        self._lists: TimedValues[HostsReply] = TimedValues(HostsReply(()))

    def set_hosts(self, hosts: HostsReply) -> None:
        """Replace the list."""
        self._lists.add(time.time(), hosts)

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Return the list, or replace it."""
        if req.path == HOSTS_PATH:
            self.set_hosts(msgspec.json.decode(req.body, type=HostsReply))
            await responder.json(200, {})
            return
        if self.switches.outage:
            await responder.error(503, "outage")
            return
        if req.path != "/v1/hosts":
            await responder.error(404, "no such resource")
            return
        shown = self._lists.at(time.time() - self.switches.lag_seconds)
        await responder.json(200, shown)

    def records(self) -> object:
        """Return the newest list."""
        return self._lists.latest


if __name__ == "__main__":
    run_command(HostListStandIn, __doc__)
