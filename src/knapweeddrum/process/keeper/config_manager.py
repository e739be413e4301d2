"""Changes of the configuration and their delivery to the processes of the host."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from knapweeddrum.core.config.config_ledger import ConfigLedger
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.fact.config_change import ConfigChange
from knapweeddrum.process.keeper.exceptions import (
    AppendPendingError,
    NoStateError,
    NotAppendedError,
)
from knapweeddrum.process.keeper.keeper_stream import KeeperStream

CHANGE_APPEND_TIMEOUT_SECONDS = 3.0
CHANGE_RETRY_AFTER_SECONDS = 2.0
CHANGE_WAIT_LIMIT_SECONDS = 10.0
READER_EXPIRY_SECONDS = 30.0
ROUTER_EXPIRY_SECONDS = 2.0


class ConfigManager:
    """Serves readers of the configuration and appends operators' changes."""

    def __init__(
        self,
        stream: KeeperStream[ConfigLedger],
        host: str,
        clock: Callable[[], float],
    ) -> None:
        self._own_readers = f"{host}/"
        self._own_router = f"{host}/router/"
        self._router_polls = 0
        self._router_left_at = 0.0
        self._stream = stream
        self._clock = clock
        self._readers: dict[str, tuple[int, float]] = {}

    async def read(self, req: ConfigRequest) -> ConfigReply:
        """Return the changes after an offset, or a snapshot.

        Waits for a change if there is none yet, at most for the time requested.
        """
        if req.reader.startswith(self._own_readers):
            self._readers[req.reader] = (req.after, self._clock())
        with self._router_poll(req.reader):
            return await self._read(req)

    async def _read(self, req: ConfigRequest) -> ConfigReply:
        follower = self._stream.follower
        if not follower.ready.is_set():
            return ConfigReply(offset=-1, resources=())
        wait = min(req.wait, CHANGE_WAIT_LIMIT_SECONDS)
        await follower.wait_beyond(req.after, wait)
        return self._changes(req.after)

    async def change(self, req: ChangeRequest) -> ChangeReply:
        """Append a change and return the verdict, which the order of the log decides.

        A repeat under the same identifier gets the same verdict.
        """
        known = self._stream.ledger.change(req.change_id)
        if known is not None:
            return known
        fact = ConfigChange(
            change_id=req.change_id,
            resource_kind=req.resource_kind,
            name=req.name,
            base_version=req.base_version,
            author=req.author,
            body=req.body,
            deleted=req.deleted,
        )
        try:
            self._stream.require_state()
            verdict = await self._stream.appender.append(
                fact, CHANGE_APPEND_TIMEOUT_SECONDS
            )
        except (NoStateError, NotAppendedError):
            return _failed(ChangeVerdict.UNAVAILABLE)
        except AppendPendingError:
            return _failed(ChangeVerdict.UNKNOWN)
        accepted = verdict.outcome is FactOutcome.ACCEPTED
        return ChangeReply(
            verdict=ChangeVerdict.ACCEPTED if accepted else ChangeVerdict.CONFLICT,
            version=verdict.version,
            offset=verdict.offset,
        )

    def offset_in_force(self) -> int:
        """Return the configuration offset that all processes of the host have reached.

        A process that has not asked for READER_EXPIRY_SECONDS is left out.
        """
        now = self._clock()
        offsets = [
            offset
            for offset, seen_at in self._readers.values()
            if now - seen_at < READER_EXPIRY_SECONDS
        ]
        return min([self._stream.follower.replay.position, *offsets])

    def has_own_router(self) -> bool:
        """Return whether the router of this host asks for changes or did recently."""
        if self._router_polls:
            return True
        return self._clock() - self._router_left_at < ROUTER_EXPIRY_SECONDS

    @contextlib.contextmanager
    def _router_poll(self, reader: str) -> Iterator[None]:
        if not reader.startswith(self._own_router):
            yield
            return
        self._router_polls += 1
        try:
            yield
        finally:
            self._router_polls -= 1
            self._router_left_at = self._clock()

    def _changes(self, after: int) -> ConfigReply:
        ledger = self._stream.ledger
        offset = self._stream.follower.replay.position
        changes = ledger.changes_after(after)
        # For an empty log the reply is a snapshot at offset -1; a keeper without state
        # replies with no snapshot.
        if changes is not None and offset >= 0:
            return ConfigReply(offset=offset, resources=changes)
        return ConfigReply(offset=offset, resources=ledger.snapshot(), snapshot=True)


def _failed(verdict: ChangeVerdict) -> ChangeReply:
    return ChangeReply(verdict=verdict, retry_after=CHANGE_RETRY_AFTER_SECONDS)
