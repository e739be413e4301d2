"""Task that sends settlements and returned allowances to the keeper."""

from __future__ import annotations

import math

import anyio

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import SETTLE
from knapweeddrum.telemetry.counters import SETTLED
from knapweeddrum.value.retry_reason import RetryReason

BATCH_ENTRIES_LIMIT = 256
"""Maximum of entries in one request to the keeper."""

SETTLE_TIMEOUT_SECONDS = 5.0
FIRST_SETTLE_DELAY_SECONDS = 0.05
LONGEST_SETTLE_DELAY_SECONDS = 2.0


class Settler:
    """Sends entries in order of arrival, each until the keeper has accepted it.

    A repeated batch keeps its identifier, so that the keeper applies it once even if
    a reply was lost. No entry is dropped while the process runs.
    """

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._send, self._receive = anyio.create_memory_object_stream[
            Settlement | Allowance
        ](math.inf)
        self._unaccepted_entries = 0
        self._idle = anyio.Event()
        self._idle.set()

    @property
    def unaccepted_entries(self) -> int:
        """Return how many entries the keeper has not accepted yet."""
        return self._unaccepted_entries

    def add(self, *entries: Settlement | Allowance) -> None:
        """Queue settlements and returned allowances."""
        for entry in entries:
            self._send.send_nowait(entry)
            self._unaccepted_entries += 1
        if self._unaccepted_entries and self._idle.is_set():
            self._idle = anyio.Event()

    async def flush(self) -> None:
        """Return once the keeper has accepted everything queued so far."""
        await self._idle.wait()

    async def run(self) -> None:
        """Send until cancelled."""
        async for entry in self._receive:
            batch = self._collect_batch(entry)
            await self._send_until_accepted(batch)
            self._count_accepted(len(batch))

    def _collect_batch(
        self, first: Settlement | Allowance
    ) -> list[Settlement | Allowance]:
        """Return a batch of the first entry and those queued behind it."""
        batch = [first]
        while len(batch) < BATCH_ENTRIES_LIMIT:
            try:
                batch.append(self._receive.receive_nowait())
            except anyio.WouldBlock:
                break
        return batch

    async def _send_until_accepted(self, batch: list[Settlement | Allowance]) -> None:
        """Repeat one request until the keeper accepts it."""
        req = SettleRequest(
            settle_id=self._context.new_id(),
            router=self._context.incarnation,
            settlements=tuple(e for e in batch if isinstance(e, Settlement)),
            returns=tuple(e for e in batch if isinstance(e, Allowance)),
        )
        backoff = Backoff(
            self._context.rng, FIRST_SETTLE_DELAY_SECONDS, LONGEST_SETTLE_DELAY_SECONDS
        )
        while not await self._send_once(req):
            self._context.metrics.count_retry(RetryReason.KEEPER_UNREACHABLE)
            await anyio.sleep(backoff.delay())

    async def _send_once(self, req: SettleRequest) -> bool:
        """Send the request once; return whether the keeper accepted it."""
        try:
            reply = await self._context.keeper.call(SETTLE, req, SETTLE_TIMEOUT_SECONDS)
        except RpcError:
            return False
        return reply.accepted

    def _count_accepted(self, count: int) -> None:
        """Count accepted entries; wake ``flush`` when none is left."""
        self._context.metrics.count(SETTLED, count)
        self._unaccepted_entries -= count
        if self._unaccepted_entries == 0:
            self._idle.set()
