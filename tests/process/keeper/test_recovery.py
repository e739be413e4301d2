from __future__ import annotations

import anyio

from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.rpc.keeper_methods import CHANGE, CLAIM, CONFIG, OUTCOME
from tests.async_test import async_test
from tests.process.keeper.keeper_bench import (
    keeper_bench,
    knows,
    until,
    until_status,
)


def claim(claimant: str) -> ClaimRequest:
    return ClaimRequest(claim_key="mill/k", claimant=claimant, fingerprint="f")


def change(change_id: str, base_version: int, body: bytes = b"{}") -> ChangeRequest:
    return ChangeRequest(
        change_id=change_id,
        resource_kind="route",
        name="draft",
        base_version=base_version,
        author="operator",
        body=body,
    )


@async_test
async def test_keeper_recovers_from_a_checkpoint_after_retention():
    """A new keeper gets the full state although the first records have expired."""
    async with keeper_bench(2) as (bench, (first, second)):
        for number in range(12):
            await first.top_up(f"t{number}", 10)
        follower = first.process._streams[1].follower
        await until(lambda: follower.checkpoint_backlog(0.0).records < 3)
        bench.log.expire_all_but(3)
        second.kill()
        fresh = bench.start(1, 2)
        first.cut_off = True
        await until(lambda: knows(fresh, 1))
        assert (await fresh.status()).deposited == 120
        assert (await fresh.top_up("t0", 10)).repeated


@async_test
async def test_keeper_started_in_an_outage_catches_up_from_peers():
    """The keeper serves nothing before it has a state, then has that of its peer."""
    async with keeper_bench(2) as (bench, (first, second)):
        await first.top_up("t1", 500)
        second.kill()
        first.log.unavailable = True
        fresh = bench.start(1, 2, log_unavailable=True)
        reply = await fresh.call(CONFIG, ConfigRequest(after=-1, wait=0.0))
        assert reply.offset == -1
        assert not reply.snapshot
        assert not (await fresh.top_up("t2", 1)).accepted
        await until(lambda: fresh.process._streams[1].follower.ready.is_set())
        assert (await fresh.status()).deposited == 500


@async_test
async def test_concurrent_claims_have_one_winner():
    """Of concurrent claims at several keepers one wins; the others get pending."""
    async with keeper_bench(3) as (_, keepers):
        verdicts = []

        async def attempt(keeper) -> None:
            reply = await keeper.call(CLAIM, claim(f"{keeper.name}/attempt"))
            verdicts.append(reply.verdict)

        async with anyio.create_task_group() as tasks:
            for keeper in keepers:
                tasks.start_soon(attempt, keeper)
        assert sorted(verdicts) == ["pending", "pending", "won"]


@async_test
async def test_claim_with_a_lost_reply_is_won_once():
    """The winner gets its verdict by reading its record back from the log."""
    async with keeper_bench(2) as (_, (first, second)):
        first.log.lose_replies = 1
        assert (await first.call(CLAIM, claim("a"))).verdict is ClaimVerdict.WON
        outcome = OutcomeRequest(
            claim_key="mill/k", claimant="a", state="done", status=201, body=b"x"
        )
        assert (await first.call(OUTCOME, outcome)).accepted
        reply = await second.call(CLAIM, claim("b"))
        assert (reply.verdict, reply.status, reply.body) == ("done", 201, b"x")


@async_test
async def test_late_claim_does_not_free_a_key_won_at_another_keeper():
    """A claim that a router repeats and wins at another keeper stays won."""
    async with keeper_bench(2) as (_, (first, second)):
        first.log.delay_appends = True
        reply = await first.call(CLAIM, claim("a"))
        assert reply.verdict is ClaimVerdict.UNAVAILABLE
        assert (await second.call(CLAIM, claim("a"))).verdict is ClaimVerdict.WON
        first.log.deliver()
        await until(lambda: first.process._streams[2].appender.idle)
        reply = await second.call(CLAIM, claim("b"))
        assert reply.verdict is ClaimVerdict.PENDING


@async_test
async def test_abandoned_claim_wins_nothing_if_it_is_appended_late():
    """The outcome not_run frees the key even if it precedes the claim on the log."""
    async with keeper_bench(2) as (_, (first, second)):
        first.log.delay_appends = True
        reply = await first.call(CLAIM, claim("a"))
        assert reply.verdict is ClaimVerdict.UNAVAILABLE
        given_up = OutcomeRequest(claim_key="mill/k", claimant="a", state="not_run")
        assert (await second.call(OUTCOME, given_up)).accepted
        first.log.deliver()
        await until(lambda: first.process._streams[2].appender.idle)
        assert (await first.call(CLAIM, claim("a"))).verdict is ClaimVerdict.NOT_RUN
        assert (await second.call(CLAIM, claim("b"))).verdict is ClaimVerdict.WON


@async_test
async def test_first_of_two_changes_to_a_version_wins():
    """The second change is refused with the version that the first one created.

    A repeat of the first change gets the same reply again.
    """
    async with keeper_bench(2) as (_, (first, second)):
        won = await first.call(CHANGE, change("c1", 0))
        lost = await second.call(CHANGE, change("c2", 0))
        assert (won.verdict, won.version) == (ChangeVerdict.ACCEPTED, 1)
        assert (lost.verdict, lost.version) == (ChangeVerdict.CONFLICT, 1)
        assert await second.call(CHANGE, change("c1", 0)) == won


@async_test
async def test_change_during_an_outage_is_unavailable_and_not_applied():
    """The reply is unavailable only if the change was not and will not be written."""
    async with keeper_bench(1) as (bench, (keeper,)):
        await keeper.call(CHANGE, change("c1", 0))
        keeper.log.unavailable = True
        reply = await keeper.call(CHANGE, change("c2", 1))
        assert reply.verdict is ChangeVerdict.UNAVAILABLE
        keeper.log.unavailable = False
        await keeper.top_up("t1", 1)
        await until_status(keeper, lambda status: status.deposited == 1)
        assert len(bench.log.streams["config"]) == 1
