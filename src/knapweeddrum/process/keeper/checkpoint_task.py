"""Writing of checkpoints of the streams that a keeper follows."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

import anyio

from knapweeddrum.core.replay.checkpoint_policy import CheckpointPolicy
from knapweeddrum.core.replay.checkpoint_writer import CheckpointWriter
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.process.keeper.keeper_stream import KeeperStream
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import CHECKPOINT_WRITTEN

CHECKPOINT_CHECK_PERIOD_SECONDS = 1.0


class CheckpointTask:
    """Writes a checkpoint of each stream when the policy says that one is due.

    Rendezvous hashing of the live hosts ranks the keepers of each stream. The keeper of
    rank 0 writes first, so usually only one keeper writes each checkpoint.
    """

    def __init__(
        self,
        incarnation: str,
        streams: Sequence[KeeperStream[Ledger]],
        policy: CheckpointPolicy,
        membership: MembershipTask,
        unix_clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._streams = streams
        self._policy = policy
        self._membership = membership
        self._unix_clock = unix_clock
        self._events = events
        self._writer = CheckpointWriter(incarnation)

    async def run(self) -> None:
        """Write checkpoints that are due, until cancelled."""
        while True:
            await anyio.sleep(CHECKPOINT_CHECK_PERIOD_SECONDS)
            for stream in self._streams:
                if self._is_due(stream):
                    await self._write(stream)

    def _is_due(self, stream: KeeperStream[Ledger]) -> bool:
        follower = stream.follower
        if not follower.ready.is_set() or not stream.appender.available:
            return False
        backlog = follower.checkpoint_backlog(self._unix_clock())
        return self._policy.is_due(backlog, self._rank(follower.stream))

    async def _write(self, stream: KeeperStream[Ledger]) -> None:
        parts = self._writer.parts(stream.follower.replay)
        covers = stream.follower.replay.position
        entries = [stream.appender.submit(part) for part in parts]
        for entry in entries:
            await entry.decided.wait()
        self._events.emit(
            CHECKPOINT_WRITTEN,
            stream=stream.follower.stream,
            covers=covers,
            parts=len(parts),
        )

    def _rank(self, stream: str) -> int:
        own, *others = [host.host for host in self._membership.hosts() if host.alive]
        weight = zlib.crc32(f"{own}\0{stream}".encode())
        return sum(
            1 for other in others if zlib.crc32(f"{other}\0{stream}".encode()) > weight
        )
