from __future__ import annotations

import contextlib

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.resource.budget import Budget
from knapweeddrum.process.router.chat_body import decode_chat_body
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.process.router.prefix_digests import prefix_digests
from knapweeddrum.process.router.resource_table import ResourceTable
from tests.async_test import async_test
from tests.process.router.router_harness import run_router, wait_until
from tests.standins.prompt import Prompt

OFFSETS = st.lists(st.integers(0, 30), max_size=20)


def reply_at(offset: int) -> ConfigReply:
    """Return a snapshot with one resource, whose description is the offset."""
    body = msgspec.json.encode(Budget("mill", str(offset)))
    record = ResourceRecord("budget", "mill/main", offset, offset, body)
    return ConfigReply(offset, (record,), snapshot=True)


@given(OFFSETS)
def test_older_configuration_is_ignored(offsets: list[int]):
    """For any order of replies, the newest one received is in force."""
    table = ResourceTable()
    newest = -1
    for offset in offsets:
        table.apply(reply_at(offset))
        newest = max(newest, offset)
        assert table.offset == newest
        assert table.budgets["mill/main"].description == str(newest)


@given(st.lists(st.text(max_size=50), min_size=1, max_size=5))
def test_prompt_bound_and_prefix_digests_match_the_engine(texts: list[str]):
    """The bound is at least the engine's count of prompt tokens.

    The prefix digests are those that the engine publishes, the longest first.
    """
    messages = [{"role": "user", "content": text} for text in texts]
    body = msgspec.json.encode({"model": "m", "messages": messages})
    bound = decode_chat_body(body).prompt_bound(body)
    prompt = msgspec.json.decode(body, type=Prompt)
    counted = prompt.tokens
    published = tuple(prompt.message_prefix_digests())
    assert prefix_digests(decode_chat_body(body).messages) == published[::-1]
    assert bound >= max(counted, sum(len(text.encode()) for text in texts))


@given(st.binary(max_size=200))
def test_any_body_is_decoded_or_refused(data: bytes):
    """Decoding any bytes returns a body or raises RefusedError."""
    for body in (data, b'{"model": "m", "messages": ' + data):
        with contextlib.suppress(RefusedError):
            decode_chat_body(body)


@async_test
async def test_entry_advice_leaves_out_hosts_that_accept_no_requests():
    """Hosts of the data centre come first; draining and failed ones are left out."""
    async with run_router(advice_lifetime_seconds=7) as (harness, _):
        harness.keeper.hosts = (
            host("alfa", "kz-1"),
            host("bravo", "kz-2"),
            host("charlie", "kz-1", draining=True),
            host("delta", "kz-1", alive=False),
        )
        await wait_until(lambda: len(harness.router.entry.hosts) == 4)
        advice = (await harness.request("GET", "/v1/entry", key="")).json()
        assert [entry["host"] for entry in advice["hosts"]] == ["alfa", "bravo"]
        assert advice["lifetime_seconds"] == 7
        counters = (await harness.request("GET", "/-/counters", key="")).json()
        assert counters == dict(harness.metrics.counts)


def host(
    name: str, data_centre: str, draining: bool = False, alive: bool = True
) -> EntryHost:
    return EntryHost(
        name, data_centre, "127.0.0.1", 1, 2, 3, draining, alive, 0, f"{name}/keeper/1"
    )
