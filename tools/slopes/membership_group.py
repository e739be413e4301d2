"""Membership tasks of all hosts of a fleet in one process."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.core.membership.peer_address import PeerAddress
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.rpc.keeper_methods import EXCHANGE
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_service import RpcService
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.value.identifiers import HostName
from tools.slopes.empty_host_list import EmptyHostList
from tools.slopes.manual_clock import ManualClock
from tools.slopes.memory_caller import MemoryNetwork

DATA_CENTRES = 7
PORT = 8081


class ExchangeService(RpcService):
    """Serves a host's heartbeat exchanges."""

    def __init__(self, membership: MembershipTask) -> None:
        self._membership = membership

    def handlers(
        self,
    ) -> list[tuple[Method[Any, Any], Callable[[Any], Awaitable[Any]]]]:
        """Return the one method."""
        return [(EXCHANGE, self._exchange)]

    async def _exchange(self, req: ExchangeRequest) -> ExchangeReply:
        return self._membership.merge_heartbeats(req)


class MembershipGroup:
    """``count`` hosts, whose gossip rounds run one after another.

    With ``known`` each host starts with a heartbeat of every other host.
    """

    def __init__(self, count: int, known: bool = True, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork()
        self.config_offsets = [0] * count
        self.heartbeats = tuple(_heartbeat(index) for index in range(count))
        self.tasks = [
            self._task(index, random.Random(seed * count + index))
            for index in range(count)
        ]
        for index, task in enumerate(self.tasks):
            address = self.heartbeats[index].address
            self.network.serve(address, PORT, ExchangeService(task))
            if known:
                task.merge_heartbeats(ExchangeRequest(self.heartbeats))

    async def round(self) -> None:
        """Advance the clock by 1 s and run one gossip round of each host."""
        self.clock.now += 1.0
        for task in self.tasks:
            await task.round()

    def remove_host(self, index: int) -> None:
        """Remove a host as if it had failed; indices of later tasks decrease by 1."""
        self.network.end(self.heartbeats[index].address, PORT)
        del self.tasks[index]

    def _task(self, index: int, rng: random.Random) -> MembershipTask:
        seeds = tuple(
            PeerAddress(HostName(beat.host), beat.address, PORT)
            for beat in self.heartbeats
        )
        return MembershipTask(
            MemberTable(self.heartbeats[index], rng),
            PeerChannels(self.network.connect),
            EmptyHostList(),
            lambda: self.config_offsets[index],
            self.clock,
            EventLog("error"),
            seeds,
        )


def _heartbeat(index: int) -> Heartbeat:
    name = f"host-{index:03}"
    return Heartbeat(
        host=name,
        data_centre=f"dc-{index % DATA_CENTRES}",
        incarnation=f"{name}/keeper/0198a0b1c2d3-{index:08x}",
        address=f"10.20.{index // 200}.{index % 200 + 1}",
        router_port=8080,
        keeper_port=PORT,
        control_port=8082,
        sequence=0,
        draining=False,
        config_offset=0,
    )
