from __future__ import annotations

from typing import cast

import anyio

from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.process.entry.loan_exchange import LOAN_TIMEOUT_SECONDS
from knapweeddrum.process.entry.token_allocator import MIN_CLAIM_WAIT_SECONDS
from knapweeddrum.process.entry.token_borrower import (
    JOIN_TIMEOUT_SECONDS,
)
from tests.process.entry.claim_race import (
    LARGE,
    PREPAID_TOKENS,
    DistantStore,
    peer_address,
)
from tests.process.entry.loan_hosts import LoanHosts, play

MOST = PREPAID_TOKENS * 95 // 100
MEAN_TOKENS = PREPAID_TOKENS // 150
"""Tokens of a request where ten come in a second, for fifteen seconds."""
MAX_QUESTIONS = 4
"""Questions to an owner for one request: for a claim, for what is left, for a refill
and a return at that time."""
PUBLISHED_SECONDS = 3.0
"""Time until a claim tells what its host has lent."""


async def _reserve(hosts: LoanHosts, number: int, tokens: int) -> TokenVerdict:
    return await hosts.allocators[number].reserve(LARGE, tokens)


def test_only_the_owner_says_that_tokens_are_exhausted():
    """Another host doesn't know which of the lent tokens are unused.

    The owner is slow once, so a request asks the host that ranks next.
    """

    async def test(hosts: LoanHosts) -> None:
        owner, _, third, last = hosts.ranking
        assert await _reserve(hosts, last, MOST) is TokenVerdict.RESERVED
        await anyio.sleep(PUBLISHED_SECONDS)
        hosts.network.seconds[peer_address(owner)] = 1.0
        hosts.allocators[last].settle(LARGE, MOST, MOST // 10)
        verdict = await _reserve(hosts, third, PREPAID_TOKENS // 2)
        assert verdict is not TokenVerdict.EXHAUSTED, verdict

    play(test)


def test_host_returns_tokens_to_an_owner_that_it_never_asked():
    """What requests have left unused is lent to others though the owner changed."""

    async def test(hosts: LoanHosts) -> None:
        owner, second, _, last = hosts.ranking
        assert await _reserve(hosts, last, MOST) is TokenVerdict.RESERVED
        hosts.remove(owner)
        hosts.allocators[last].settle(LARGE, MOST, MOST // 10)
        await anyio.sleep(1.5)
        verdict = await _reserve(hosts, second, PREPAID_TOKENS // 2)
        assert verdict is TokenVerdict.RESERVED, verdict

    play(test)


def test_another_host_claims_while_the_store_refuses_the_owners_writes():
    """The store may reject one host's writes, answer its reads and serve the others."""

    async def test(hosts: LoanHosts) -> None:
        owner, _, third, _ = hosts.ranking
        hosts.refuse_writes(owner)
        verdicts = []
        for _ in range(10):
            verdicts.append(await _reserve(hosts, third, PREPAID_TOKENS // 100))
            await anyio.sleep(0.5)
        refused = [v for v in verdicts if v is not TokenVerdict.RESERVED]
        assert len(refused) <= 1, verdicts

    play(test)


def test_request_that_joins_a_loan_waits_no_longer_than_its_limit():
    """A loan that takes long, as host after host is silent, holds up no other one."""

    async def test(hosts: LoanHosts) -> None:
        *silent, last = hosts.ranking
        for number in silent:
            hosts.network.seconds[peer_address(number)] = 10.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_reserve, hosts, last, PREPAID_TOKENS // 10)
            await anyio.sleep(0.01)
            started_at = anyio.current_time()
            await hosts.borrowers[last].borrow(LARGE, PREPAID_TOKENS // 10)
            waited = anyio.current_time() - started_at
        assert waited <= JOIN_TIMEOUT_SECONDS + 0.01, waited

    play(test)


def test_free_tokens_of_an_idle_host_serve_requests_of_others():
    """A host may keep some seconds of its demand; its callers went elsewhere."""

    async def test(hosts: LoanHosts) -> None:
        *_, third, last = hosts.ranking
        for _ in range(50):
            assert await _reserve(hosts, last, MEAN_TOKENS) is TokenVerdict.RESERVED
            hosts.allocators[last].settle(LARGE, MEAN_TOKENS, MEAN_TOKENS)
            await anyio.sleep(0.1)
        served = hosts.account(last).spent
        while await _reserve(hosts, third, MEAN_TOKENS) is TokenVerdict.RESERVED:
            hosts.allocators[third].settle(LARGE, MEAN_TOKENS, MEAN_TOKENS)
            served += MEAN_TOKENS
            await anyio.sleep(0.1)
        assert served >= PREPAID_TOKENS - MEAN_TOKENS, served / PREPAID_TOKENS

    play(test)


def test_owner_that_cannot_claim_is_not_asked_in_a_loop():
    """Such questions fill the links of both hosts and only delay the refusal."""

    async def test(hosts: LoanHosts) -> None:
        owner, *_, last = hosts.ranking
        hosts.refuse_all()
        for _ in range(3):
            await _reserve(hosts, last, PREPAID_TOKENS // 2)
            await anyio.sleep(1.0)
        before = hosts.network.calls_to[peer_address(owner)]
        verdict = await _reserve(hosts, last, PREPAID_TOKENS // 2)
        asked = hosts.network.calls_to[peer_address(owner)] - before
        assert verdict is not TokenVerdict.RESERVED
        assert asked <= MAX_QUESTIONS, asked

    play(test)


def fill_link(load: LinkLoad) -> None:
    """Let more come in than the link carries."""
    for _ in range(2):
        load.update(anyio.current_time())
        load.receive(10**9)
    load.update(anyio.current_time() + 0.001)
    assert load.is_closed


async def reserve_at_full_link(
    hosts: LoanHosts, store_seconds: float, count: int
) -> list[tuple[TokenVerdict, float]]:
    """Return verdicts and waits at a host that its own link cuts off."""
    *_, third, _ = hosts.ranking
    for number in set(hosts.ranking) - {third}:
        hosts.network.seconds[peer_address(number)] = 1.0
    store = cast("DistantStore", hosts.contexts[third].store)
    store._seconds = store_seconds
    fill_link(hosts.contexts[third].link_load)
    results = []
    for _ in range(count):
        started_at = anyio.current_time()
        verdict = await _reserve(hosts, third, MEAN_TOKENS)
        results.append((verdict, anyio.current_time() - started_at))
        await anyio.sleep(0.01)
    return results


def test_requests_are_refused_at_once_while_this_hosts_own_link_is_full():
    """Each was held for half a second, though neither owners nor store answered."""

    async def test(hosts: LoanHosts) -> None:
        results = await reserve_at_full_link(hosts, 1.0, 5)
        assert {verdict for verdict, _ in results} == {TokenVerdict.UNREACHABLE}
        waits = [wait for _, wait in results]
        longest = LOAN_TIMEOUT_SECONDS + MIN_CLAIM_WAIT_SECONDS + 0.01
        assert waits[0] < longest
        assert max(waits[1:]) < 0.01

    play(test)


def test_request_claims_without_asking_more_hosts_while_the_link_is_full():
    """One answer of the store may come through where several of hosts don't."""

    async def test(hosts: LoanHosts) -> None:
        ((verdict, wait),) = await reserve_at_full_link(hosts, 0.02, 1)
        assert verdict is TokenVerdict.RESERVED
        assert wait < LOAN_TIMEOUT_SECONDS + MIN_CLAIM_WAIT_SECONDS

    play(test)


def test_host_whose_link_has_room_again_asks_the_owner():
    """It is cut off for moments only."""

    async def test(hosts: LoanHosts) -> None:
        owner, _, third, _ = hosts.ranking
        before = hosts.network.seconds[peer_address(owner)]
        await reserve_at_full_link(hosts, 1.0, 2)
        hosts.network.seconds[peer_address(owner)] = before
        await anyio.sleep(2.5)
        assert await _reserve(hosts, third, MEAN_TOKENS) is TokenVerdict.RESERVED

    play(test)


def test_requests_ask_other_hosts_while_only_the_owner_is_silent():
    """The link of this host has room, so others can be asked in time."""

    async def test(hosts: LoanHosts) -> None:
        owner, _, third, _ = hosts.ranking
        hosts.network.seconds[peer_address(owner)] = 1.0
        assert await _reserve(hosts, third, MEAN_TOKENS) is TokenVerdict.RESERVED
        assert not hosts.borrowers[third].is_hindered(LARGE)

    play(test)
