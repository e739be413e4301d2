"""Unlocking of this keeper's grants by their witnesses, as tokens are needed."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.grant_unlock_state import GrantUnlockState
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.unlock_request import UnlockRequest
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.witnessed_holding import WitnessedHolding
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import UNLOCK

UNLOCK_TIMEOUT_SECONDS = 0.5


class GrantUnlocker:
    """Holds the locked tokens of witnessed grants and credits the unlocked ones.

    A witness is another keeper whose consent this keeper, the holder, needs before it
    spends past the unlocked limit of a grant. Once the holder has failed, the witness
    releases the rest. Unlocked tokens are credited to the pool.
    """

    def __init__(
        self,
        incarnation: str,
        pool: AllowancePool,
        membership: MembershipTask,
        peers: PeerChannels,
    ) -> None:
        self._incarnation = incarnation
        self._pool = pool
        self._membership = membership
        self._peers = peers
        self._holdings: dict[str, dict[str, WitnessedHolding]] = {}
        self._unresponsive: set[str] = set()

    def choose_witness(self, grant_id: str) -> str:
        """Return a live peer's incarnation, from another data centre if possible.

        Empty if no peer is live. A witness that gave no reply is chosen only if all
        others gave none either.
        """
        own, *others = self._membership.hosts()
        live = [host for host in others if host.alive and not host.draining]
        far = [host for host in live if host.data_centre != own.data_centre]
        # Only live hosts can be chosen, so other incarnations are forgotten.
        self._unresponsive.intersection_update(host.incarnation for host in live)
        answering = [
            host for host in live if host.incarnation not in self._unresponsive
        ]
        far = [host for host in far if host in answering]
        candidates = far or answering or live
        if not candidates:
            return ""
        digest = zlib.crc32(grant_id.encode())
        return candidates[digest % len(candidates)].incarnation

    def add(self, grant_id: str, budget: str, witness: str, tokens: int) -> None:
        """Add a grant of this keeper that was read back, with all tokens locked."""
        holdings = self._holdings.setdefault(budget, {})
        if grant_id not in holdings:
            unlock_state = GrantUnlockState(grant_id, budget, tokens)
            holdings[grant_id] = WitnessedHolding(witness, unlock_state)

    def unlockable(self, budget: str) -> int:
        """Return the locked tokens of a budget that could be unlocked now.

        Tokens whose witness is unresponsive are left out, so that they don't keep this
        keeper from requesting a grant that can be unlocked.
        """
        holdings = self._holdings.get(budget, {}).values()
        return sum(h.grant.locked for h in holdings if not self._is_unresponsive(h))

    async def unlock(self, budget: str, tokens: int) -> None:
        """Unlock ``tokens`` more of a budget, or fewer if witnesses don't respond."""
        goal = self._pool.free(budget) + tokens
        holdings = self._holdings.get(budget, {}).items()
        for grant_id, holding in sorted(
            holdings, key=lambda item: self._is_unresponsive(item[1])
        ):
            missing = goal - self._pool.free(budget)
            if missing <= 0:
                return
            await self._unlock_grant(grant_id, holding, budget, missing)

    def give_up_locked(self, budget: str) -> tuple[Allowance, ...]:
        """Give up tokens that were never unlocked; return a slice for each grant."""
        return self._give_up_holdings(budget, self._holdings.get(budget, {}))

    def give_up_unresponsive(self, budget: str) -> tuple[Allowance, ...]:
        """Give up locked tokens of the grants whose witness is unresponsive."""
        holdings = self._holdings.get(budget, {})
        unresponsive = {g: h for g, h in holdings.items() if self._is_unresponsive(h)}
        self._unresponsive.difference_update(h.witness for h in unresponsive.values())
        return self._give_up_holdings(budget, unresponsive)

    def _give_up_holdings(
        self, budget: str, holdings: Mapping[str, WitnessedHolding]
    ) -> tuple[Allowance, ...]:
        returned = []
        for grant_id, holding in holdings.items():
            tokens = holding.grant.give_up_locked()
            if tokens:
                returned.append(Allowance(budget, grant_id, tokens))
        self._drop_unlocked(budget)
        return tuple(returned)

    def budgets(self) -> tuple[str, ...]:
        """Return the budgets with locked tokens, sorted."""
        return tuple(sorted(self._holdings))

    async def _unlock_grant(
        self, grant_id: str, holding: WitnessedHolding, budget: str, tokens: int
    ) -> None:
        host = self._live_host(holding.witness)
        if host is None:
            return
        limit = holding.grant.request_unlock(tokens)
        request = UnlockRequest(
            grant_id=grant_id, budget=budget, holder=self._incarnation, opened=limit
        )
        caller = self._peers.to(host)
        try:
            reply = await caller.call(UNLOCK, request, UNLOCK_TIMEOUT_SECONDS)
        except RpcError:
            # The witness may have unlocked the limit; a repeated request is harmless.
            self._unresponsive.add(holding.witness)
            return
        self._unresponsive.discard(holding.witness)
        if reply.allowed:
            allowance = holding.grant.record_unlocked(limit)
            credit_id = f"{grant_id}/{limit}"
            self._pool.credit(credit_id, (allowance,))
            self._pool.forget(credit_id)
        elif reply.closed:
            holding.grant.close()
        self._drop_unlocked(budget)

    def _is_unresponsive(self, holding: WitnessedHolding) -> bool:
        return (
            holding.witness in self._unresponsive
            or self._live_host(holding.witness) is None
        )

    def _live_host(self, incarnation: str) -> EntryHost | None:
        for host in self._membership.hosts():
            if host.incarnation == incarnation and host.alive:
                return host
        return None

    def _drop_unlocked(self, budget: str) -> None:
        holdings = self._holdings.get(budget, {})
        for grant_id in [g for g, h in holdings.items() if not h.grant.locked]:
            del holdings[grant_id]
        if not holdings:
            self._holdings.pop(budget, None)
