from __future__ import annotations

from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.process.keeper_failover import (
    KEEPER_AVOIDANCE_SECONDS,
    KeeperFailover,
)
from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.keeper_methods import ENTRY
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.fake_keeper import FakeKeeper, fake_host


class UnresponsiveKeeper(FakeKeeper):
    """Accepts calls and gives no reply."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def call(self, method, request, timeout):
        self.calls += 1
        raise RpcError("timeout")


@async_test
async def test_next_keeper_answers_when_the_first_fails():
    """A call fails over when a keeper can't be reached or does not reply."""
    failed, alive = FakeKeeper(), FakeKeeper()
    failed.unreachable = True
    alive.hosts = [fake_host("h2")]
    caller = KeeperFailover([failed, UnresponsiveKeeper(), alive])
    reply = await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert reply.hosts[0].host == "h2"


@async_test
async def test_call_without_reply_may_have_been_executed():
    """PeerUnreachableError means that no keeper was reached, so nothing has run."""
    failed = FakeKeeper()
    failed.unreachable = True
    with raises(PeerUnreachableError):
        await KeeperFailover([failed, failed]).call(ENTRY, EntryRequest(""), 1.0)
    with raises(RpcError):
        await KeeperFailover([UnresponsiveKeeper(), failed]).call(
            ENTRY, EntryRequest(""), 1.0
        )


@async_test
async def test_unresponsive_keeper_does_not_delay_each_call():
    """After a failure a keeper is called last, then first again after a while."""
    now = 0.0
    unresponsive, alive = UnresponsiveKeeper(), FakeKeeper()
    caller = KeeperFailover([unresponsive, alive], lambda: now)
    for _ in range(3):
        await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert unresponsive.calls == 1
    now += KEEPER_AVOIDANCE_SECONDS
    await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert unresponsive.calls == 2
