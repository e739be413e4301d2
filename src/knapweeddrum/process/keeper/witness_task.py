"""The keeper as witness of other keepers' grants."""

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

HOLDER_CHECK_PERIOD_SECONDS = 1.0
GRANT_READ_WAIT_SECONDS = 0.3
HOLDER_FAILED_SECONDS = 5.0
"""Time for which a holder must have failed before its grants are closed."""


class WitnessTask:
    """Unlocks grants for their holders and releases the locked tokens of failed ones.

    Releasing is safe even if the holder is only paused or cut off: it can spend no more
    than what was unlocked before.
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
            stream.follower.listen(self._register_new_grants)
            stream.follower.listen_for_jumps(self._register_open_grants)

    async def unlock(self, req: UnlockRequest) -> UnlockReply:
        """Unlock more of a grant for its holder.

        Waits a short time for the grant if only the holder has read it back so far.
        """
        follower = shard_of(req.budget, self._streams).follower
        verdict = self._grant_witness.unlock(req.grant_id, req.holder, req.opened)
        with anyio.move_on_after(GRANT_READ_WAIT_SECONDS):
            while verdict is UnlockVerdict.UNKNOWN:
                await follower.wait_beyond(
                    follower.replay.position, GRANT_READ_WAIT_SECONDS
                )
                verdict = self._grant_witness.unlock(
                    req.grant_id, req.holder, req.opened
                )
        return UnlockReply(
            allowed=verdict is UnlockVerdict.ALLOWED,
            closed=verdict is UnlockVerdict.CLOSED,
        )

    async def run(self) -> None:
        """Release the grants of failed holders until cancelled."""
        while True:
            await anyio.sleep(HOLDER_CHECK_PERIOD_SECONDS)
            self.release_failed()

    def release_failed(self) -> None:
        """Close the grants of holders that failed HOLDER_FAILED_SECONDS ago or more."""
        now = self._clock()
        live = self._membership.live_incarnations()
        for holder, last_live in list(self._holders.items()):
            if holder in live:
                self._holders[holder] = now
            elif now - last_live > HOLDER_FAILED_SECONDS:
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

    def _register_new_grants(self, verdicts: tuple[FactVerdict, ...]) -> None:
        for verdict in verdicts:
            fact = verdict.fact
            if not isinstance(fact, Grant) or fact.witness != self._incarnation:
                continue
            if verdict.tokens:
                self._register(fact.grant_id, fact.budget, fact.holder)

    def _register_open_grants(self) -> None:
        """Register grants whose verdicts were skipped because a state was loaded.

        None of their tokens are unlocked, because this incarnation unlocks only grants
        that it has registered.
        """
        for stream in self._streams:
            for grant in stream.ledger.open_grants():
                if grant.witness == self._incarnation and not grant.released:
                    self._register(grant.grant_id, grant.budget, grant.holder)

    def _register(self, grant_id: str, budget: str, holder: str) -> None:
        self._grant_witness.register(grant_id, budget, holder)
        self._holders.setdefault(holder, self._clock())
