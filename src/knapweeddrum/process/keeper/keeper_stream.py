"""One stream of the log as a keeper uses it."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Sequence
from typing import Generic, TypeVar

from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.process.keeper.exceptions import NoStateError
from knapweeddrum.process.keeper.log_appender import LogAppender
from knapweeddrum.process.keeper.stream_follower import StreamFollower

LedgerT = TypeVar("LedgerT", bound=Ledger)
LedgerT_co = TypeVar("LedgerT_co", bound=Ledger, covariant=True)


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperStream(Generic[LedgerT_co]):
    """A followed stream, its ledger, and the appender that is fed its verdicts."""

    ledger: LedgerT_co
    follower: StreamFollower
    appender: LogAppender

    def require_state(self) -> None:
        """Raise NoStateError while the stream has no state."""
        if not self.follower.ready.is_set():
            raise NoStateError(f"{self.follower.stream}: no state yet")


def shard_of(
    key: str, streams: Sequence[KeeperStream[LedgerT]]
) -> KeeperStream[LedgerT]:
    """Return the stream that holds a key."""
    return streams[zlib.crc32(key.encode()) % len(streams)]
