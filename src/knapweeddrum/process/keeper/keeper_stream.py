"""One stream of the log that a keeper follows and appends to."""

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
    """A stream's ledger, its follower, and the appender that gets its verdicts."""

    ledger: LedgerT_co
    follower: StreamFollower
    appender: LogAppender

    def require_state(self) -> None:
        """Raise NoStateError until the stream has a state."""
        if not self.follower.ready.is_set():
            raise NoStateError(f"{self.follower.stream}: no state yet")


def shard_of(
    key: str, streams: Sequence[KeeperStream[LedgerT]]
) -> KeeperStream[LedgerT]:
    """Return the stream (shard) to which a key belongs."""
    return streams[zlib.crc32(key.encode()) % len(streams)]
