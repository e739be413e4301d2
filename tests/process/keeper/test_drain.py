from __future__ import annotations

from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.rpc.keeper_methods import DRAIN, ENTRY
from knapweeddrum.value.drain_source import DrainSource
from tests.async_test import async_test
from tests.process.keeper.keeper_bench import keeper_bench


@async_test
async def test_router_that_starts_does_not_undo_an_operators_drain():
    """A host drains while any source requests it; a source ends only its own drain."""
    async with keeper_bench(1) as (_, (keeper,)):
        await keeper.call(DRAIN, DrainRequest("host-0", True))
        await keeper.call(DRAIN, DrainRequest("host-0", False, DrainSource.ROUTER))
        reply = await keeper.call(ENTRY, EntryRequest(router="r"))
        assert reply.hosts[0].draining
        await keeper.call(DRAIN, DrainRequest("host-0", False))
        reply = await keeper.call(ENTRY, EntryRequest(router="r"))
        assert not reply.hosts[0].draining
