from __future__ import annotations

import anyio

from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.value.endpoint_kind import EndpointKind
from tests.async_test import async_test
from tests.process.router.router_harness import (
    RouterHarness,
    run_router,
    wait_until,
)

# A booking is a request that may run only once.
BOOK = "/v1/services/orders/book"
STOCK = "/v1/services/orders/stock"
CLAIM_KEY = "mill/orders/k1"
UNREACHABLE_URL = "http://127.0.0.1:9"


async def book(harness: RouterHarness, body: bytes = b"{}", **headers: str):
    return await harness.request("POST", BOOK, body, Idempotency_Key="k1", **headers)


@async_test
async def test_booking_sent_again_gets_the_recorded_answer():
    """A key runs once, also across routers; the key with another body is refused."""
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            first = await book(harness)
            again = await book(other)
            changed = await book(other, b"{1}")
        assert first.status == 200
        assert (again.status, again.body) == (200, first.body)
        assert (changed.status, changed.json()["reason"]) == (422, "key_reused")
        assert endpoints.executions() == 1


@async_test
async def test_concurrent_copies_of_a_booking_run_once():
    """Of copies at two routers one runs; others get its answer or claim_pending."""
    async with run_router() as (harness, endpoints):
        other = RouterHarness(harness.keeper, "bravo")
        async with other.running():
            await other.ready()
            replies = []

            async def send(router: RouterHarness) -> None:
                replies.append(await book(router))

            async with anyio.create_task_group() as tasks:
                for router in (harness, other, harness, other):
                    tasks.start_soon(send, router)
        assert endpoints.executions() == 1
        refused = [reply for reply in replies if reply.status != 200]
        assert len(refused) < len(replies)
        for reply in refused:
            assert reply.json()["reason"] == "claim_pending"
            assert reply.json()["run_state"] == "unknown"


@async_test
async def test_booking_without_an_answer_is_never_sent_again():
    """After a cut reply, the request and its retries get outcome_unknown."""
    async with run_router() as (harness, endpoints):
        endpoints.service.set_switches(cut_replies=1)
        for _ in range(3):
            reply = await book(harness)
            assert reply.json()["reason"] == "outcome_unknown"
            assert reply.json()["run_state"] == "unknown"
        assert endpoints.executions() == 1
        assert harness.keeper.outcomes[CLAIM_KEY].state == "unknown"


@async_test
async def test_booking_without_a_key_is_sent_once():
    """Without an idempotency key there is no claim and no retry either."""
    async with run_router() as (harness, endpoints):
        endpoints.service.set_switches(cut_replies=1)
        reply = await harness.request("POST", BOOK, b"{}")
        assert reply.json()["run_state"] == "unknown"
        assert (endpoints.executions(), harness.keeper.claims) == (1, {})


@async_test
async def test_booking_at_an_unreachable_service_is_not_run():
    """A failed connection is recorded as not_run."""
    async with run_router() as (harness, endpoints):
        service = harness.router.directory.service("svc")
        kind = EndpointKind.PLAIN_SERVICE
        harness.keeper.put("endpoint", "svc", Endpoint(kind, UNREACHABLE_URL, "kz-1"))
        await wait_until(lambda: harness.router.directory.service("svc") is not service)
        reply = await book(harness)
        assert reply.json()["run_state"] == "not_run"
        assert harness.keeper.outcomes[CLAIM_KEY].state == "not_run"
        assert endpoints.executions() == 0


@async_test
async def test_booking_without_a_claim_verdict_is_not_run():
    """Without a verdict on its claim, a request is not dispatched."""
    async with run_router() as (harness, endpoints):
        harness.keeper.unresponsive = {"Claim"}
        reply = await book(harness, Knapweed_Deadline="0.2")
        assert reply.status in {503, 504}
        assert reply.json()["run_state"] == "not_run"
        assert endpoints.executions() == 0


@async_test
async def test_lost_claim_reply_is_asked_again():
    """A claim whose reply was lost is asked for again and won."""
    async with run_router() as (harness, endpoints):
        harness.keeper.lost_replies["Claim"] = 2
        assert (await book(harness)).status == 200
        assert endpoints.executions() == 1


@async_test
async def test_lost_reply_to_an_outcome_does_not_lose_the_answer():
    """If the keeper's reply is lost, the router records again and sends the answer."""
    async with run_router() as (harness, endpoints):
        harness.keeper.lost_replies["Outcome"] = 1
        first = await book(harness)
        assert first.status == 200
        assert (await book(harness)).body == first.body
        assert endpoints.executions() == 1


@async_test
async def test_router_paused_after_its_claim_was_won_dispatches_nothing():
    """A verdict that is read too late is discarded; not_run is recorded."""
    async with run_router() as (harness, endpoints):
        claim = harness.keeper._claim
        for pause, reason in ((3600.0, "deadline"), (15.0, "log_unavailable")):

            async def claim_and_pause(req, pause=pause):
                reply = await claim(req)
                harness.clock_offset += pause
                return reply

            harness.keeper._claim = claim_and_pause
            reply = await book(harness)
            assert reply.json()["reason"] == reason
            assert reply.json()["run_state"] == "not_run"
            await wait_until(lambda: CLAIM_KEY in harness.keeper.outcomes)
            assert harness.keeper.outcomes[CLAIM_KEY].state == "not_run"
        assert endpoints.executions() == 0


@async_test
async def test_booking_goes_on_when_its_caller_leaves():
    """The outcome of a request that may run only once is recorded without a caller."""
    async with run_router() as (harness, endpoints):
        endpoints.service.set_switches(delay_seconds=0.2)
        with anyio.move_on_after(20) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(book, harness)
                await wait_until(endpoints.executions)
                tasks.cancel_scope.cancel()
        assert not scope.cancelled_caught
        await wait_until(lambda: CLAIM_KEY in harness.keeper.outcomes)
        assert harness.keeper.outcomes[CLAIM_KEY].state == "done"


@async_test
async def test_read_is_retried():
    """A repeatable request whose reply is cut is sent again."""
    async with run_router() as (harness, endpoints):
        endpoints.service.set_switches(cut_replies=1)
        assert (await harness.request("GET", STOCK)).status == 200
        assert endpoints.executions() == 2
        assert harness.metrics.counts["retry.endpoint_error"] == 1


@async_test
async def test_rules_say_what_may_be_repeated():
    """The rule with the longest path prefix applies, also to reads."""
    async with run_router() as (harness, endpoints):
        harness.keeper.put("rule", "a", Rule("orders", "", "/quote", True))
        harness.keeper.put("rule", "b", Rule("orders", "GET", "/quote/final", False))
        await wait_until(lambda: harness.router.gate.health().config_offset >= 8)
        for path, runs in (("/quote/1", 2), ("/quote/final", 1)):
            before = endpoints.executions()
            endpoints.service.set_switches(cut_replies=1)
            await harness.request("GET", f"/v1/services/orders{path}")
            assert endpoints.executions() - before == runs
            endpoints.service.set_switches(cut_replies=0)
