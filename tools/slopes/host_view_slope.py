"""Cost of a keeper's reads of its member table, by hosts."""

from __future__ import annotations

import anyio
import msgspec

from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.process.keeper.locate_manager import LocateManager
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from tools.slopes.cpu_timer import CpuTimer
from tools.slopes.figure import Figure
from tools.slopes.membership_group import MembershipGroup
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

CALLS = 200


class HostViewSlope(Slope):
    """Reads of the member table for entry polls, liveness checks and locate calls."""

    name = "host-view"
    unit = "hosts"
    sizes = (7, 60, 120, 370)
    tiny_sizes = (3, 5)

    def __init__(self, calls: int = CALLS) -> None:
        self._calls = calls

    def measure(self, size: float) -> Reading:
        """Return the mean cost of each kind of read with ``size`` hosts."""
        return anyio.run(self._measure, size)

    async def _measure(self, size: float) -> Reading:
        members = MembershipGroup(int(size))
        membership = members.tasks[0]
        entry = CpuTimer()
        with entry.running():
            for _ in range(self._calls):
                reply = msgspec.msgpack.encode(EntryReply(membership.hosts(), 0))
        live = CpuTimer()
        with live.running():
            for _ in range(self._calls):
                membership.live_incarnations()
        peers = PeerChannels(members.network.connect)
        manager = LocateManager(membership, peers, members.clock)
        locate = CpuTimer()
        with locate.running():
            for number in range(self._calls):
                request = LocateRequest(f"organisation-1/{number}", "r", forwarded=True)
                await manager.handle(request)
        return Reading(
            size,
            (
                Figure("entry_reply", "bytes", len(reply)),
                Figure("entry_reply_cpu", "us/call", entry.microseconds / self._calls),
                Figure("live_hosts_cpu", "us/call", live.microseconds / self._calls),
                Figure("locate_cpu", "us/call", locate.microseconds / self._calls),
            ),
        )
