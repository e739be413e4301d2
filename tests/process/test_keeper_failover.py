from __future__ import annotations

from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.process.keeper_failover import AVOID_SECONDS, KeeperFailover
from knapweeddrum.rpc.exceptions import PeerUnreachableError, RpcError
from knapweeddrum.rpc.keeper_methods import ENTRY
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.fake_keeper import FakeKeeper, fake_host


class SilentKeeper(FakeKeeper):
    """Accepts calls and gives no reply."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def call(self, method, request, timeout):
        self.calls += 1
        raise RpcError("timeout")


@async_test
async def test_next_keeper_answers_when_the_first_is_gone():
    """A call fails over when a keeper can't be reached or does not reply."""
    gone, alive = FakeKeeper(), FakeKeeper()
    gone.unreachable = True
    alive.hosts = [fake_host("h2")]
    caller = KeeperFailover([gone, SilentKeeper(), alive])
    reply = await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert reply.hosts[0].host == "h2"


@async_test
async def test_a_silent_keeper_may_have_carried_the_call_out():
    """PeerUnreachableError, after which nothing has run, needs all unreachable."""
    gone = FakeKeeper()
    gone.unreachable = True
    with raises(PeerUnreachableError):
        await KeeperFailover([gone, gone]).call(ENTRY, EntryRequest(""), 1.0)
    with raises(RpcError):
        await KeeperFailover([SilentKeeper(), gone]).call(ENTRY, EntryRequest(""), 1.0)


@async_test
async def test_silent_keeper_does_not_hold_up_each_call():
    """After a failure a keeper is called last, then first again after AVOID_SECONDS."""
    now = 0.0
    silent, alive = SilentKeeper(), FakeKeeper()
    caller = KeeperFailover([silent, alive], lambda: now)
    for _ in range(3):
        await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert silent.calls == 1
    now += AVOID_SECONDS
    await caller.call(ENTRY, EntryRequest(""), 1.0)
    assert silent.calls == 2
