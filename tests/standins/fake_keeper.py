from __future__ import annotations

import anyio

from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.budget_status import BudgetStatus
from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.call.drain_reply import DrainReply
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.call.top_up_reply import TopUpReply
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.keeper_methods import BUDGET, CHANGE, CONFIG, DRAIN, ENTRY, TOP_UP
from knapweeddrum.rpc.rpc_caller import RpcCaller


class FakeKeeper(RpcCaller):
    """A keeper in memory whose attributes simulate failures.

    Requests for configuration changes after an offset below ``expired_before`` get a
    snapshot.
    """

    def __init__(self) -> None:
        self.unreachable = False
        self.log_unavailable = False
        self.lose_next_reply = False
        self.expired_before = -1
        self.hang_next_config = False
        self.hosts: list[EntryHost] = []
        self.draining: dict[str, bool] = {}
        self.records: list[ResourceRecord] = []
        self.change_requests: list[ChangeRequest] = []
        self.balances: dict[str, int] = {}
        self._verdicts: dict[str, ChangeReply] = {}
        self._topups: set[str] = set()
        self._handlers = {
            CONFIG.path: self._config,
            CHANGE.path: self._change,
            TOP_UP.path: self._top_up,
            BUDGET.path: self._budget,
            ENTRY.path: self._entry,
            DRAIN.path: self._drain,
        }

    async def call(self, method, request, timeout):
        await anyio.lowlevel.checkpoint()
        if self.unreachable:
            raise PeerUnreachableError("connection refused")
        reply = await self._handlers[method.path](request)
        if self.lose_next_reply and method.path in {CHANGE.path, TOP_UP.path}:
            self.lose_next_reply = False
            raise RpcError("connection reset")
        return reply

    async def _config(self, request: ConfigRequest) -> ConfigReply:
        if self.hang_next_config:
            self.hang_next_config = False
            await anyio.sleep_forever()
        with anyio.move_on_after(request.wait):
            while self.offset <= request.after:
                await anyio.sleep(0.005)
        if request.after < self.expired_before or not self.records:
            return ConfigReply(self.offset, self._latest(), snapshot=True)
        changed = tuple(item for item in self.records if item.offset > request.after)
        return ConfigReply(self.offset, changed)

    async def _change(self, request: ChangeRequest) -> ChangeReply:
        self.change_requests.append(request)
        if request.change_id in self._verdicts:
            return self._verdicts[request.change_id]
        if self.log_unavailable:
            return ChangeReply(ChangeVerdict.UNAVAILABLE, retry_after=3.0)
        current = self._current(request)
        if not _applies(request, current):
            version, offset = (current.version, current.offset) if current else (0, -1)
            reply = ChangeReply(ChangeVerdict.CONFLICT, version, offset)
        else:
            reply = self._accept(request, current)
        self._verdicts[request.change_id] = reply
        return reply

    def _accept(
        self, request: ChangeRequest, current: ResourceRecord | None
    ) -> ChangeReply:
        offset = self.offset + 1
        record = ResourceRecord(
            request.resource_kind,
            request.name,
            current.version + 1 if current else 1,
            offset,
            request.body,
            request.deleted,
        )
        self.records.append(record)
        return ChangeReply(ChangeVerdict.ACCEPTED, record.version, offset)

    async def _top_up(self, request: TopUpRequest) -> TopUpReply:
        if self.log_unavailable:
            return TopUpReply(accepted=False, retry_after=3.0)
        repeated = request.topup_id in self._topups
        if not repeated:
            self._topups.add(request.topup_id)
            balance = self.balances.get(request.budget, 0)
            self.balances[request.budget] = balance + request.tokens
        return TopUpReply(True, repeated, self.balances[request.budget])

    async def _budget(self, request: BudgetRequest) -> BudgetReply:
        return BudgetReply(
            tuple(
                BudgetStatus(name, tokens, tokens, 0, 0, 0, 0, 0)
                for name, tokens in sorted(self.balances.items())
                if name.startswith(request.prefix)
            )
        )

    async def _entry(self, request: EntryRequest) -> EntryReply:
        return EntryReply(tuple(self.hosts), self.offset)

    async def _drain(self, request: DrainRequest) -> DrainReply:
        self.draining[request.host] = request.draining
        return DrainReply(accepted=True)

    @property
    def offset(self) -> int:
        """Return the log offset of the newest record, -1 for an empty log."""
        return self.records[-1].offset if self.records else -1

    def _current(self, request: ChangeRequest) -> ResourceRecord | None:
        for record in reversed(self.records):
            if (record.resource_kind, record.name) == (
                request.resource_kind,
                request.name,
            ):
                return record
        return None

    def _latest(self) -> tuple[ResourceRecord, ...]:
        latest = {(item.resource_kind, item.name): item for item in self.records}
        return tuple(
            sorted(latest.values(), key=lambda item: (item.resource_kind, item.name))
        )


def _applies(request: ChangeRequest, current: ResourceRecord | None) -> bool:
    if current is None or current.deleted:
        versions = {0, current.version if current else 0}
        return request.base_version in versions and not request.deleted
    return request.base_version == current.version


def fake_host(name: str, config_offset: int = 0, **fields: object) -> EntryHost:
    """Return a live host at the loopback address."""
    values: dict[str, object] = {
        "host": name,
        "data_centre": "dc-1",
        "address": "127.0.0.1",
        "router_port": 8080,
        "keeper_port": 8081,
        "control_port": 8082,
        "draining": False,
        "alive": True,
        "config_offset": config_offset,
        "incarnation": f"{name}/keeper/1",
    }
    return EntryHost(**(values | fields))
