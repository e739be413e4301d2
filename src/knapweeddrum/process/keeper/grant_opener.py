"""Opens this keeper's grants at their witnesses, part by part."""

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

OPEN_TIMEOUT_SECONDS = 0.5


class GrantOpener:
    """Holds the unopened rest of witnessed grants; what opens goes into the pool."""

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
        self._silent: set[str] = set()

    def choose_witness(self, grant_id: str) -> str:
        """Return a live peer's incarnation, of another data centre if there is one.

        Empty when no peer is live. A witness that gave no reply comes last.
        """
        own, *others = self._membership.hosts()
        live = [host for host in others if host.alive and not host.draining]
        far = [host for host in live if host.data_centre != own.data_centre]
        # Only what may still be chosen is worth remembering.
        self._silent.intersection_update(host.incarnation for host in live)
        answering = [host for host in live if host.incarnation not in self._silent]
        far = [host for host in far if host in answering]
        candidates = far or answering or live
        if not candidates:
            return ""
        digest = zlib.crc32(grant_id.encode())
        return candidates[digest % len(candidates)].incarnation

    def add(self, grant_id: str, budget: str, witness: str, tokens: int) -> None:
        """Take over a grant that was read back."""
        holdings = self._holdings.setdefault(budget, {})
        if grant_id not in holdings:
            unlock_state = GrantUnlockState(grant_id, budget, tokens)
            holdings[grant_id] = WitnessedHolding(witness, unlock_state)

    def unopened(self, budget: str) -> int:
        """Return the tokens of a budget that could be opened now.

        Those whose witness is silent don't count: they must not keep this keeper from
        asking for a grant that it can open.
        """
        holdings = self._holdings.get(budget, {}).values()
        return sum(h.grant.locked for h in holdings if not self._is_silent(h))

    async def open(self, budget: str, tokens: int) -> None:
        """Open ``tokens`` more of a budget, as far as witnesses can be reached."""
        goal = self._pool.free(budget) + tokens
        holdings = self._holdings.get(budget, {}).items()
        for grant_id, holding in sorted(
            holdings, key=lambda item: self._is_silent(item[1])
        ):
            missing = goal - self._pool.free(budget)
            if missing <= 0:
                return
            await self._open_one(grant_id, holding, budget, missing)

    def give_up(self, budget: str) -> tuple[Allowance, ...]:
        """Give up what was never opened and return it, a slice for each grant."""
        return self._give_up(budget, self._holdings.get(budget, {}))

    def give_up_silent(self, budget: str) -> tuple[Allowance, ...]:
        """Give up what was never opened of the grants whose witness is silent."""
        holdings = self._holdings.get(budget, {})
        silent = {g: h for g, h in holdings.items() if self._is_silent(h)}
        self._silent.difference_update(h.witness for h in silent.values())
        return self._give_up(budget, silent)

    def _give_up(
        self, budget: str, holdings: Mapping[str, WitnessedHolding]
    ) -> tuple[Allowance, ...]:
        returned = []
        for grant_id, holding in holdings.items():
            tokens = holding.grant.give_up_locked()
            if tokens:
                returned.append(Allowance(budget, grant_id, tokens))
        self._drop_spent(budget)
        return tuple(returned)

    def budgets(self) -> tuple[str, ...]:
        """Return the budgets with unopened grants, sorted."""
        return tuple(sorted(self._holdings))

    async def _open_one(
        self, grant_id: str, holding: WitnessedHolding, budget: str, tokens: int
    ) -> None:
        host = self._host_of(holding.witness)
        if host is None:
            return
        limit = holding.grant.request_unlock(tokens)
        request = UnlockRequest(
            grant_id=grant_id, budget=budget, holder=self._incarnation, opened=limit
        )
        caller = self._peers.to(host)
        try:
            reply = await caller.call(UNLOCK, request, OPEN_TIMEOUT_SECONDS)
        except RpcError:
            # The mark may be opened there; asking for it again is harmless.
            self._silent.add(holding.witness)
            return
        self._silent.discard(holding.witness)
        if reply.allowed:
            allowance = holding.grant.acknowledge(limit)
            credit_id = f"{grant_id}/{limit}"
            self._pool.credit(credit_id, (allowance,))
            self._pool.forget(credit_id)
        elif reply.closed:
            holding.grant.close()
        self._drop_spent(budget)

    def _is_silent(self, holding: WitnessedHolding) -> bool:
        return holding.witness in self._silent or self._host_of(holding.witness) is None

    def _host_of(self, incarnation: str) -> EntryHost | None:
        for host in self._membership.hosts():
            if host.incarnation == incarnation and host.alive:
                return host
        return None

    def _drop_spent(self, budget: str) -> None:
        holdings = self._holdings.get(budget, {})
        for grant_id in [g for g, h in holdings.items() if not h.grant.locked]:
            del holdings[grant_id]
        if not holdings:
            self._holdings.pop(budget, None)
