"""The task that carries out the orders to engines."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from knapweeddrum.core.routing.fence_issuer import FenceIssuer
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.exceptions import (
    KeeperReplyLostError,
    KeeperUnavailableError,
    OrderDelayedError,
)
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.order.fetch_gate import FetchGate
from knapweeddrum.process.control.order.order_owner import order_owner
from knapweeddrum.process.control.order.order_sender import OrderSender
from knapweeddrum.process.control.order.order_store import OrderStore
from knapweeddrum.process.control.order.outstanding_order import OutstandingOrder
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import ORDER_DELAYED, ORDER_FINISHED
from knapweeddrum.value.identifiers import Incarnation
from knapweeddrum.value.order_state import OrderState
from knapweeddrum.value.resource_kind import ResourceKind

ROUND_SECONDS = 2.0
"""Pause between rounds while the configuration doesn't change."""
TAKEOVER_SECONDS = 30.0
"""How long another issuer may be silent before an order with a fence is taken over."""
HAND_BACK_SECONDS = 5.0
"""Time at a stop to give back what this process has claimed."""

UNFINISHED = frozenset({OrderState.REQUESTED, OrderState.ISSUING})


class OrderTask:
    """Claims the orders of this host's engines on the log, then sends them.

    See docs/design/020-engine-orders.md. ``host`` and ``incarnation`` are those of
    this process; the clock is in monotonic seconds.
    """

    def __init__(
        self,
        keeper: KeeperClient,
        follower: ConfigFollower,
        store: OrderStore,
        sender: OrderSender,
        gate: FetchGate,
        host: str,
        incarnation: str,
        clock: Callable[[], float],
        events: EventLog,
    ) -> None:
        self._keeper = keeper
        self._follower = follower
        self._store = store
        self._sender = sender
        self._gate = gate
        self._host = host
        self._incarnation = Incarnation(incarnation)
        self._clock = clock
        self._events = events
        self._first_seen: dict[int, float] = {}
        self._delayed: set[int] = set()

    async def run(self, stopping: anyio.Event) -> None:
        """Carry out orders until told to stop; then give back what is claimed."""
        while not stopping.is_set():
            offset = self._follower.copy.offset
            await self.round()
            await self._pause(offset, stopping)
        with anyio.move_on_after(HAND_BACK_SECONDS):
            await self._hand_back()

    async def round(self) -> None:
        """Take each unfinished order one step further."""
        orders = self._unfinished()
        self._forget_others(orders)
        if not orders:
            return
        hosts = await self._hosts()
        async with anyio.create_task_group() as tasks:
            for order in orders:
                tasks.start_soon(self._advance, order, hosts)

    async def _advance(
        self, order: OutstandingOrder, hosts: tuple[EntryHost, ...]
    ) -> None:
        try:
            await self._step(order, hosts)
        except OrderDelayedError as exc:
            self._note_delay(order, str(exc))

    async def _step(
        self, order: OutstandingOrder, hosts: tuple[EntryHost, ...]
    ) -> None:
        """Send the order, or claim it; raises OrderDelayedError."""
        issuer = FenceIssuer(self._incarnation, order.book())
        fenced = issuer.sendable(order.name)
        if fenced is not None:
            await self._send(order, fenced.fence)
            return
        if not self._may_claim(order, hosts):
            return
        issue = issuer.propose(order.name, order.order_id, order.endpoint.checks_fence)
        if issue is not None and await self._gate.is_open(order):
            await self._store.claim(order, issue)

    async def _send(self, order: OutstandingOrder, fence: int) -> None:
        state = await self._sender.send(order, fence)
        if await self._store.finish(order, state):
            self._events.emit(
                ORDER_FINISHED,
                endpoint=order.name,
                action=order.spec.action.value,
                fence=fence,
                state=state.value,
            )

    def _may_claim(self, order: OutstandingOrder, hosts: tuple[EntryHost, ...]) -> bool:
        """Return whether it is for this process to claim the order now."""
        if order_owner(order.name, hosts) != self._host:
            return False
        if order.spec.state is OrderState.REQUESTED:
            return True
        seen = self._first_seen.setdefault(order.record.offset, self._clock())
        return self._clock() - seen >= TAKEOVER_SECONDS

    def _unfinished(self) -> list[OutstandingOrder]:
        """Return the orders that are not finished and whose endpoint exists."""
        found = []
        for record in self._follower.copy.resources():
            if record.resource_kind == ResourceKind.ENGINE_ORDER:
                order = self._outstanding(record)
                if order is not None:
                    found.append(order)
        return found

    def _outstanding(self, record: ResourceRecord) -> OutstandingOrder | None:
        spec = msgspec.json.decode(record.body, type=EngineOrderSpec)
        target = ResourceId(ResourceKind.ENDPOINT, spec.endpoint)
        endpoint = self._follower.copy.get(target)
        if spec.state not in UNFINISHED or endpoint is None:
            return None
        decoded = msgspec.json.decode(endpoint.body, type=Endpoint)
        return OutstandingOrder(record, spec, decoded)

    async def _hosts(self) -> tuple[EntryHost, ...]:
        """Return the entry hosts; none when no keeper answers."""
        try:
            return (await self._keeper.entry()).hosts
        except (KeeperUnavailableError, KeeperReplyLostError):
            return ()

    async def _pause(self, offset: int, stopping: anyio.Event) -> None:
        """Wait for a change after ``offset``, for the stop, or for some seconds."""
        async with anyio.create_task_group() as tasks:

            async def cancel_when_stopping() -> None:
                await stopping.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_when_stopping)
            await self._follower.wait_for_change(offset, ROUND_SECONDS)
            tasks.cancel_scope.cancel()

    async def _hand_back(self) -> None:
        """Give back what this process has claimed and will not send any more."""
        for order in self._unfinished():
            if order.spec.issuer == self._incarnation:
                await self._store.hand_back(order)

    def _note_delay(self, order: OutstandingOrder, error: str) -> None:
        """Log the first failure of each version of an order."""
        if order.record.offset in self._delayed:
            return
        self._delayed.add(order.record.offset)
        self._events.emit(ORDER_DELAYED, endpoint=order.name, error=error)

    def _forget_others(self, orders: list[OutstandingOrder]) -> None:
        """Forget what is kept of versions that are no longer unfinished."""
        offsets = {order.record.offset for order in orders}
        self._delayed &= offsets
        kept = {o: seen for o, seen in self._first_seen.items() if o in offsets}
        self._first_seen = kept
