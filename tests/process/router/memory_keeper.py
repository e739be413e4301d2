from __future__ import annotations

import collections

import anyio
import anyio.lowlevel
import msgspec

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.call.drain_reply import DrainReply
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.message.call.outcome_reply import OutcomeReply
from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.call.settle_reply import SettleReply
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.message.call.token_demand import TokenDemand
from knapweeddrum.process.keeper.crash_exchange import CrashExchange
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import (
    CLAIM,
    CONFIG,
    DRAIN,
    DRAW,
    ENTRY,
    LOCATE,
    OUTCOME,
    SETTLE,
)
from knapweeddrum.rpc.method import Method
from knapweeddrum.rpc.rpc_caller import RpcCaller

_VERDICTS = {
    "done": ClaimVerdict.DONE,
    "unknown": ClaimVerdict.UNKNOWN,
    "not_run": ClaimVerdict.NOT_RUN,
}


class MemoryKeeper(RpcCaller):
    """Fake keeper in memory, with one balance for each budget and a claim table.

    Calls of the methods in ``unresponsive`` fail without an effect. The next
    ``lost_replies`` calls of a method take effect, but their replies are lost.
    """

    def __init__(self) -> None:
        self.unresponsive: set[str] = set()
        self.lost_replies: collections.Counter[str] = collections.Counter()
        self.balances: dict[str, int] = {}
        self.settlements: dict[tuple[str, str, str], Settlement] = {}
        self.claims: dict[str, ClaimRequest] = {}
        self.outcomes: dict[str, OutcomeRequest] = {}
        self.hints: dict[str, LocateRequest] = {}
        self.crashes = CrashExchange()
        self.draws: list[DrawRequest] = []
        self.hosts: tuple[EntryHost, ...] = ()
        self.draining: list[bool] = []
        self.offset_by_reader: dict[str, int] = {}
        self._draws: dict[str, DrawReply] = {}
        self._settled: set[str] = set()
        self._records: dict[str, ResourceRecord] = {}
        self._offset = -1
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: msgspec.Struct) -> None:
        """Add or change a resource at the next log offset."""
        self._offset += 1
        body = msgspec.json.encode(spec)
        self._records[f"{kind}/{name}"] = ResourceRecord(
            kind, name, 1, self._offset, body
        )
        self._changed.set()
        self._changed = anyio.Event()

    def billed(self) -> list[tuple[str, int]]:
        """Return request key and tokens of each settlement, sorted."""
        return sorted(
            (entry.request_key, entry.tokens) for entry in self.settlements.values()
        )

    async def call(self, method: Method, request, timeout: float):
        await anyio.lowlevel.checkpoint()
        name = method.path.rpartition("/")[2]
        if name in self.unresponsive:
            raise RpcError(f"{name}: no reply")
        handlers = {
            CONFIG.path: self._config,
            ENTRY.path: self._entry,
            DRAW.path: self._draw,
            SETTLE.path: self._settle,
            CLAIM.path: self._claim,
            OUTCOME.path: self._outcome,
            LOCATE.path: self._locate,
            DRAIN.path: self._drain,
        }
        reply = await handlers[method.path](request)
        if self.lost_replies[name] > 0:
            self.lost_replies[name] -= 1
            raise RpcError(f"{name}: reply lost")
        return reply

    async def _config(self, req: ConfigRequest) -> ConfigReply:
        self.offset_by_reader[req.reader] = req.after
        if req.after == self._offset:
            await self._changed.wait()
        records = [r for r in self._records.values() if r.offset > req.after]
        return ConfigReply(self._offset, tuple(records))

    async def _entry(self, req: EntryRequest) -> EntryReply:
        self.crashes.merge(req.crashes)
        batch = self.crashes.changes(req.crashes_after)
        return EntryReply(
            self.hosts, crashes=batch.records, crashes_version=batch.version
        )

    async def _draw(self, req: DrawRequest) -> DrawReply:
        if req.draw_id not in self._draws:
            self.draws.append(req)
            self._draws[req.draw_id] = self._decide_draw(req)
        return self._draws[req.draw_id]

    def _decide_draw(self, req: DrawRequest) -> DrawReply:
        allowances = []
        shortfalls = []
        for want in req.wants:
            if self.balances.get(want.budget, 0) < want.minimum:
                shortfalls.append(Shortfall(want.budget, True, 30.0, True))
                continue
            allowances.append(self._allow(want))
        return DrawReply(tuple(allowances), tuple(shortfalls))

    def _allow(self, want: TokenDemand) -> Allowance:
        tokens = min(want.preferred, self.balances[want.budget])
        self.balances[want.budget] -= tokens
        return Allowance(want.budget, f"grant of {want.budget}", tokens)

    async def _settle(self, req: SettleRequest) -> SettleReply:
        for entry in req.settlements:
            key = (entry.request_key, entry.run_id, entry.settler)
            self.settlements.setdefault(key, entry)
        if req.settle_id not in self._settled:
            self._settled.add(req.settle_id)
            for entry in req.returns:
                self.balances[entry.budget] += entry.tokens
        return SettleReply(True)

    async def _claim(self, req: ClaimRequest) -> ClaimReply:
        known = self.claims.setdefault(req.claim_key, req)
        outcome = self.outcomes.get(req.claim_key)
        if known.fingerprint != req.fingerprint:
            return ClaimReply(ClaimVerdict.MISMATCH)
        if outcome is None:
            won = known.claimant == req.claimant
            return ClaimReply(ClaimVerdict.WON if won else ClaimVerdict.PENDING)
        if outcome.state == "not_run":
            self.claims[req.claim_key] = req
            del self.outcomes[req.claim_key]
            return ClaimReply(ClaimVerdict.WON)
        verdict = _VERDICTS[outcome.state]
        return ClaimReply(verdict, outcome.status, outcome.content_type, outcome.body)

    async def _outcome(self, req: OutcomeRequest) -> OutcomeReply:
        known = self.claims.get(req.claim_key)
        if known is not None and known.claimant == req.claimant:
            self.outcomes.setdefault(req.claim_key, req)
        return OutcomeReply(True)

    async def _locate(self, req: LocateRequest) -> LocateReply:
        if req.finished:
            self.hints.pop(req.request_key, None)
        elif req.endpoint:
            self.hints[req.request_key] = req
        known = self.hints.get(req.request_key)
        if known is None:
            return LocateReply()
        return LocateReply(known.router, known.endpoint, known.run_id)

    async def _drain(self, req: DrainRequest) -> DrainReply:
        self.draining.append(req.draining)
        return DrainReply(True)
