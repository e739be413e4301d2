"""Witness of other keepers' grants."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.grant_witness import GrantWitness
from knapweeddrum.core.budget.unlock_verdict import UnlockVerdict
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.message.call.unlock_reply import UnlockReply
from knapweeddrum.message.call.unlock_request import UnlockRequest
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import GRANT_RELEASED

PERIOD_SECONDS = 1.0
READ_GRANT_SECONDS = 0.3
SILENCE_SECONDS = 5.0
"""Time for which a holder must have been gone before its grants are closed."""


class WitnessTask:
    """Confirms openings, and releases the unopened part of a silent holder's grants.

    Closing is safe whatever the holder does: a holder that is only paused or cut off
    can spend no more than what was opened before.
    """

    def __init__(
        self,
        incarnation: str,
        streams: Sequence[KeeperStream[BudgetLedger]],
        membership: MembershipTask,
        clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._incarnation = incarnation
        self._streams = streams
        self._membership = membership
        self._clock = clock
        self._events = events
        self._grant_witness = GrantWitness(incarnation)
        self._holders: dict[str, float] = {}
        for stream in streams:
            stream.follower.listen(self._take_verdicts)
            stream.follower.listen_for_jumps(self._take_open_grants)

    async def unlock(self, req: UnlockRequest) -> UnlockReply:
        """Answer a holder that wants to spend more of its grant.

        Waits a little for the grant when the holder has read it back first.
        """
        follower = shard_of(req.budget, self._streams).follower
        verdict = self._grant_witness.unlock(req.grant_id, req.holder, req.opened)
        with anyio.move_on_after(READ_GRANT_SECONDS):
            while verdict is UnlockVerdict.UNKNOWN:
                await follower.wait_beyond(follower.replay.position, READ_GRANT_SECONDS)
                verdict = self._grant_witness.unlock(
                    req.grant_id, req.holder, req.opened
                )
        return UnlockReply(
            allowed=verdict is UnlockVerdict.ALLOWED,
            closed=verdict is UnlockVerdict.CLOSED,
        )

    async def run(self) -> None:
        """Look for silent holders until cancelled."""
        while True:
            await anyio.sleep(PERIOD_SECONDS)
            self.release_silent()

    def release_silent(self) -> None:
        """Close the grants of the holders that have been gone for long enough."""
        now = self._clock()
        live = self._membership.live_incarnations()
        for holder, last_live in list(self._holders.items()):
            if holder in live:
                self._holders[holder] = now
            elif now - last_live > SILENCE_SECONDS:
                self._release(holder)
                del self._holders[holder]

    def _release(self, holder: str) -> None:
        for grant_id in self._grant_witness.grants_of(holder):
            fact = self._grant_witness.close(grant_id)
            if fact is None:
                continue
            shard_of(fact.budget, self._streams).appender.submit(fact)
            self._events.emit(
                GRANT_RELEASED, grant=grant_id, budget=fact.budget, opened=fact.opened
            )

    def _take_verdicts(self, verdicts: tuple[FactVerdict, ...]) -> None:
        for verdict in verdicts:
            fact = verdict.fact
            if not isinstance(fact, Grant) or fact.witness != self._incarnation:
                continue
            if verdict.tokens:
                self._register(fact.grant_id, fact.budget, fact.holder)

    def _take_open_grants(self) -> None:
        """Register grants whose verdicts a loaded state has skipped.

        Nothing of them was opened: this incarnation opens no grant before it has
        registered it.
        """
        for stream in self._streams:
            for grant in stream.ledger.open_grants():
                if grant.witness == self._incarnation and not grant.released:
                    self._register(grant.grant_id, grant.budget, grant.holder)

    def _register(self, grant_id: str, budget: str, holder: str) -> None:
        self._grant_witness.register(grant_id, budget, holder)
        self._holders.setdefault(holder, self._clock())
