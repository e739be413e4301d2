"""Few hosts that claim, lend and borrow in simulated time, driven by a test."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import cast

import anyio

from knapweeddrum.core.prepaid.token_account import TokenAccount
from knapweeddrum.value.host_record import HostRecord
from tests.process.entry.claim_race import (
    LARGE,
    ClaimRace,
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    peer_address,
    virtual_clock,
)
from tools.budget_model.virtual_loop import run_virtual

PLAN = ClaimRacePlan(
    hosts=4, store_seconds=0.005, busy_store_seconds=0.005, seconds=60.0
)


class LoanHosts(ClaimRace):
    """Hosts without callers; ``ranking`` numbers them, the owner of LARGE first."""

    def __init__(self) -> None:
        super().__init__(PLAN, 0)
        self.ranking: list[int] = []

    def account(self, number: int) -> TokenAccount:
        return self.accounts[number].account(LARGE, anyio.current_time())

    def refuse_writes(self, number: int) -> None:
        """Let the store refuse the writes of one host from now on."""
        store = cast("DistantStore", self.contexts[number].store)
        store.refuses_writes = True

    def refuse_all(self) -> None:
        """Let the store refuse the calls of all hosts from now on."""
        for ctx in self.contexts:
            store = cast("DistantStore", ctx.store)
            store.refuses_writes = store.refuses_reads = True

    def remove(self, number: int) -> None:
        """Let all other hosts know that a host is gone."""
        for other, ctx in enumerate(self.contexts):
            if other != number:
                ready = [
                    host
                    for host in ctx.token_owners.others(LARGE)
                    if host.name != f"host-{number}"
                ]
                ctx.token_owners.set_hosts(_by_name(ready))
        self.network.lenders.pop(peer_address(number))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        self.stream = SharedStream()
        for number in range(self.plan.hosts):
            self._add_host(number)
        self.ranking = sorted(
            range(self.plan.hosts),
            key=lambda n: len(self.contexts[n].token_owners.before_self(LARGE)),
        )
        async with anyio.create_task_group() as tasks:
            for allocator in self.allocators:
                tasks.start_soon(allocator.run)
            for borrower in self.borrowers:
                tasks.start_soon(borrower.run)
            await anyio.sleep(1.0)
            yield
            tasks.cancel_scope.cancel()


def play(test: Callable[[LoanHosts], Awaitable[None]]) -> None:
    """Run a test with four hosts in simulated time."""

    async def run() -> None:
        with virtual_clock():
            hosts = LoanHosts()
            async with hosts.running():
                await test(hosts)

    run_virtual(run)


def _by_name(hosts: Iterable[HostRecord]) -> list[HostRecord]:
    return sorted(hosts, key=lambda host: host.name)
