from __future__ import annotations

import itertools
import time
from typing import cast

import anyio
import msgspec
from anyio.abc import SocketStream

from knapweeddrum.core.load.round_trips import WINDOW_SECONDS
from knapweeddrum.message.call.token_opening import TokenUnlockReply, TokenUnlockRequest
from knapweeddrum.process.entry.peer_client import (
    LINK_FULL_UNRESPONSIVE_SECONDS,
    PEER_REQUEST_TIMEOUT_SECONDS,
    PeerClient,
)
from knapweeddrum.value.link_source import LinkSource
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.process.entry.lost_peer import Address, Loss, lost_peer
from tests.standins.tcp_serving import serving

QUESTION = TokenUnlockRequest("host-0/1", "host-1/1", [])
MARGIN_SECONDS = 0.1
"""Time by which a question may exceed its time limit on a busy machine."""
KEPT_CONNECTIONS = 3
SLOW_PART_SECONDS = 0.06
LOSSES = (Loss.RESET, Loss.CLOSED)


class LongReply(msgspec.Struct, frozen=True):
    granted: int


@async_test
async def test_host_that_ends_within_a_question_has_ended_at_once():
    """Its kept connection is lost, and its address refuses others."""
    for loss, after in itertools.product(
        LOSSES, (Address.REFUSES, Address.REFUSES_SOON)
    ):
        assert await _has_ended(loss, after), (loss, after)


@async_test
async def test_host_that_loses_a_connection_and_may_live_has_not_ended():
    """Nobody takes a host for ended that accepts connections, or is cut off."""
    others = (Address.ACCEPTS, Address.SUCCESSOR, Address.UNANSWERED)
    for loss, after in itertools.product(LOSSES, others):
        assert not await _has_ended(loss, after), (loss, after)


@async_test
async def test_suspended_host_has_not_ended():
    """It answers on no connection, and refuses none."""
    assert not await _has_ended(Loss.SILENT, Address.ACCEPTS)


async def _has_ended(loss: Loss, after: Address) -> bool:
    """Lose a host within a question; return whether it counts as ended.

    It must count as unresponsive, and be given up within the time limit.
    """
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=2), store)
    peers = PeerClient(ctx)
    async with lost_peer(loss, after) as peer:
        reply = await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
        assert reply is not None
        asked_at = time.monotonic()
        reply = await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
        assert reply is None
        elapsed = time.monotonic() - asked_at
        assert elapsed <= PEER_REQUEST_TIMEOUT_SECONDS + MARGIN_SECONDS
        assert peers.is_unresponsive(peer.address)
        await ctx.pool.close()
        return peers.has_ended(peer.address)


@async_test
async def test_host_answers_the_next_question_after_its_connections_went_silent():
    """Each kept connection made it count as unresponsive for 2 s more."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=2), store)
    peers = PeerClient(ctx)
    replies: list[TokenUnlockReply | None] = []
    async with lost_peer(Loss.SILENT, Address.ACCEPTS) as peer:

        async def ask() -> None:
            replies.append(
                await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(KEPT_CONNECTIONS):
                tasks.start_soon(ask)
        assert None not in replies
        await ask()
        assert replies[-1] is None
        await ask()
        assert replies[-1] is not None
        await ctx.pool.close()


@async_test
async def test_host_is_asked_again_soon_if_its_answer_was_lost_in_a_full_link():
    """One answer that this host's own link delayed would hide it for 2 s."""
    assert not await _stays_unresponsive(is_link_full=True)
    assert await _stays_unresponsive(is_link_full=False)


async def _stays_unresponsive(*, is_link_full: bool) -> bool:
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=2), store)
    peers = PeerClient(ctx)
    async with lost_peer(Loss.SILENT, Address.ACCEPTS) as peer:
        assert await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
        if is_link_full:
            ctx.link_load.update(time.monotonic())
            ctx.link_load.receive(10**9)
            ctx.link_load.update(time.monotonic() + PEER_REQUEST_TIMEOUT_SECONDS)
        assert not await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
        assert peers.is_unresponsive(peer.address)
        await anyio.sleep(LINK_FULL_UNRESPONSIVE_SECONDS + 0.05)
        await ctx.pool.close()
        return peers.is_unresponsive(peer.address)


@async_test
async def test_connections_to_a_host_are_kept_while_this_hosts_link_is_full():
    """New ones would take two more trips through the same queue."""
    assert await _kept_connections(is_link_full=True) == KEPT_CONNECTIONS - 1
    assert await _kept_connections(is_link_full=False) == 0


async def _kept_connections(*, is_link_full: bool) -> int:
    """Return how many idle connections are left after one gave no answer."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=2), store)
    peers = PeerClient(ctx)
    async with lost_peer(Loss.SILENT, Address.ACCEPTS) as peer:
        async with anyio.create_task_group() as tasks:
            for _ in range(KEPT_CONNECTIONS):
                tasks.start_soon(
                    peers.post, peer.address, b"/", QUESTION, TokenUnlockReply
                )
        if is_link_full:
            # Until then the quick answers show that the link has room.
            await anyio.sleep(WINDOW_SECONDS)
            now = time.monotonic()
            for source in (LinkSource.ENDPOINTS, LinkSource.STORE):
                ctx.link_load.record_trip(source, 1.0, now, is_answered=False)
        assert not await peers.post(peer.address, b"/", QUESTION, TokenUnlockReply)
        kept = ctx.pool.open_count()
        await ctx.pool.close()
        return kept


@async_test
async def test_long_answer_of_a_host_comes_in_over_a_slow_link():
    """What hosts know of all others grows with the fleet; 0.15 s was for all of it."""
    body = b'{"granted":' + b" " * 24_000 + b"7}"

    async def handle(stream: SocketStream) -> None:
        await stream.receive()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send(head.encode())
        for start in range(0, len(body), 4_000):
            await anyio.sleep(SLOW_PART_SECONDS)
            await stream.send(body[start : start + 4_000])

    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=2), store)
    async with serving(handle) as address:
        reply = await PeerClient(ctx).post(address, b"/", QUESTION, LongReply)
        await ctx.pool.close()
    assert reply == LongReply(7)
