from __future__ import annotations

import msgspec

from knapweeddrum.process.router.problem import PROBLEM_CONTENT_TYPE
from tests.async_test import async_test
from tests.process.router.memory_keeper import MemoryKeeper
from tests.process.router.router_harness import (
    BUDGET,
    CHAT,
    RouterHarness,
    chat_body,
    run_router,
    wait_until,
)

BALANCE = 100_000
BODY_LIMIT = 2_000

BAD_BODIES = (
    b"",
    b"{",
    b"\xff\xfe",
    b"[]",
    b'{"x":' + b"[" * 800,
    b'{"model": "drafts", "messages": ' + b"[" * 1_500,
    chat_body().replace(b"quote", b"quot\xff"),
    chat_body(model=""),
    chat_body(messages=[]),
    chat_body(tokens=0),
    chat_body(tokens=-5),
    chat_body(max_tokens="5"),
    chat_body(max_completion_tokens=-1),
    chat_body(n=2),
    chat_body(stream="yes"),
)

BAD_HEADERS = (
    {"X_Request_Id": "a b"},
    {"X_Request_Id": "x" * 129},
    {"Idempotency_Key": "x/y"},
    {"Knapweed_Budget": "no-such"},
    {"Knapweed_Budget": "../main"},
    {"Knapweed_Deadline": "-1"},
    {"Knapweed_Deadline": "nan"},
    {"Knapweed_Deadline": "soon"},
    {"Knapweed_Priority": "first"},
    {"Content_Type": "x" * 257},
)

BAD_PATHS = (
    ("POST", "/v1/services/orders/stock/../book"),
    ("POST", "/v1/services/orders/%2e%2e/book"),
    ("POST", "/v1/services/orders//book"),
    ("POST", "/v1/services/orders/a%5Cb"),
    ("TRACE", "/v1/services/orders/book"),
)

UNKNOWN_PATHS = (
    ("POST", "/v1/services/nothing/book"),
    ("GET", "/v1/services/drafts/x"),
    ("GET", CHAT),
    ("POST", "/v1/else"),
)


@async_test
async def test_invalid_input_gets_a_4xx_without_effect():
    """Invalid input gets a problem document; no token, run or claim comes of it."""
    async with run_router(BALANCE, body_limit_bytes=BODY_LIMIT) as (harness, endpoints):
        replies = [(400, await harness.request("POST", CHAT, b)) for b in BAD_BODIES]
        replies += [(400, await harness.chat(**headers)) for headers in BAD_HEADERS]
        replies += [(400, await harness.request(m, path)) for m, path in BAD_PATHS]
        replies += [(404, await harness.request(m, path)) for m, path in UNKNOWN_PATHS]
        replies += [
            (404, await harness.request("POST", CHAT, chat_body(model="other"))),
            (401, await harness.request("POST", CHAT, chat_body(), key="wrong")),
            (401, await harness.request("POST", CHAT, chat_body(), key="")),
            (413, await harness.request("POST", CHAT, b" " * (BODY_LIMIT + 1))),
        ]
        for status, reply in replies:
            assert reply.status == status, (status, reply)
            assert reply.headers["content-type"] == PROBLEM_CONTENT_TYPE
            problem = reply.json()
            assert problem["run_state"] == "not_run"
            assert problem["detail"] and problem["title"] and problem["type"]
            assert problem["status"] == status
        refusals = sum(
            count
            for name, count in harness.metrics.counts.items()
            if name.startswith("refusal.")
        )
        assert refusals == len(replies)
        assert harness.keeper.balances[BUDGET] == BALANCE
        assert (endpoints.runs(), endpoints.executions()) == ([], 0)
        assert harness.keeper.claims == {}


@async_test
async def test_headers_above_the_limit_get_a_4xx():
    """Headers above the limit get a 4xx, from the server or from the application."""
    async with run_router(header_limit_bytes=1_024) as (harness, _):
        for size in (1_100, 100_000):
            reply = await harness.chat(X_Filler="x" * size)
            assert 400 <= reply.status < 500


@async_test
async def test_exhausted_budget_is_refused_as_not_run():
    """A request that may need more tokens than the balance gets 402 and a delay."""
    async with run_router(balance=50) as (harness, endpoints):
        reply = await harness.chat(500)
        assert reply.status == 402
        assert reply.json()["reason"] == "budget_exhausted"
        assert reply.json()["run_state"] == "not_run"
        assert int(reply.headers["retry-after"]) > 0
        assert endpoints.runs() == []


@async_test
async def test_unresponsive_keeper_makes_the_budget_unreachable():
    """Without a reply to its draw, a request is refused with run_state not_run."""
    async with run_router() as (harness, endpoints):
        harness.keeper.unresponsive = {"Draw"}
        reply = await harness.chat(Knapweed_Deadline="0.2")
        assert reply.json()["reason"] in {"budget_unreachable", "deadline"}
        assert reply.json()["run_state"] == "not_run"
        assert endpoints.runs() == []


@async_test
async def test_start_without_a_configuration_is_not_ready():
    """Until the keeper sends a configuration, a router replies not_ready.

    Then requests are checked: without organisations, any key is unauthenticated.
    """
    keeper = MemoryKeeper()
    keeper.unresponsive = {"Config"}
    harness = RouterHarness(keeper, "alfa")
    async with harness.running():
        reply = await harness.chat()
        assert (reply.status, reply.json()["reason"]) == (503, "not_ready")
        assert reply.headers["retry-after"] == "2"
        health = msgspec.json.decode((await harness.request("GET", "/healthz")).body)
        assert health["state"] == "waiting"
        keeper.unresponsive = set()
        keeper.put("budget", BUDGET, msgspec.defstruct("Spec", ["organisation"])("m"))
        await harness.ready()
        await wait_until(lambda: keeper.offset_by_reader.get("alfa/router/1") == 0)
        assert (await harness.chat()).json()["reason"] == "unauthenticated"
