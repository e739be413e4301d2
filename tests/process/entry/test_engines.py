from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import EntryHarness, configuration, entry_harness
from tests.standins.stamped_engine import StampedEngine

SESSIONS = 12
SHARED_PREFIX_TOKENS = 6_000
DOCUMENT = configuration(
    tenants=[{"name": "mill", "apiKeys": ["key-of-mill"]}],
)


async def send_prompt(harness: EntryHarness, session: str, attempt: str) -> int:
    """Send a prompt of one session and return the status of its answer."""
    answer = await harness.call(
        "/query/1",
        attempt=attempt,
        tokens=f"{SHARED_PREFIX_TOKENS + 500},30",
        prefix=f"{session}:{SHARED_PREFIX_TOKENS},{attempt}:500",
    )
    return answer.status


def engines(**limits: int) -> tuple[StampedEngine, ...]:
    """Return three engines."""
    return tuple(StampedEngine(f"engine-{n}", **limits) for n in range(3))


@async_test
async def test_prompts_of_a_session_reuse_the_cache_of_their_engine():
    """The prefix that a session's prompts share is processed once."""
    fleet = engines()
    async with entry_harness(engines=fleet, document=DOCUMENT) as harness:
        for turn in range(3):
            for session in range(SESSIONS):
                name = f"{turn}a{session:x}"
                assert await send_prompt(harness, f"5e55{session:x}", name) == 200
    kept = sum(engine.cached_tokens for engine in fleet)
    assert kept == 2 * SESSIONS * SHARED_PREFIX_TOKENS
    assert all(engine.runs for engine in fleet)


@async_test
async def test_request_that_a_full_engine_refuses_runs_once_at_another():
    """Concurrent prompts of one session spread over several engines."""
    fleet = engines(slots=2)
    for engine in fleet:
        engine.event_gap = 0.05
    statuses: list[int] = []
    async with (
        entry_harness(engines=fleet, document=DOCUMENT) as harness,
        anyio.create_task_group() as tasks,
    ):

        async def send(name: str) -> None:
            statuses.append(await send_prompt(harness, "5e55", name))

        for number in range(12):
            tasks.start_soon(send, f"c{number:x}")
    assert statuses == [200] * 12
    attempts = [run.text(b"attempt-id") for engine in fleet for run in engine.runs]
    assert len(attempts) == len(set(attempts)) == 12
    assert sum(bool(engine.runs) for engine in fleet) >= 2


@async_test
async def test_request_larger_than_an_engine_is_refused_with_retry_after():
    """A prompt above every engine's memory gets 429, which says that it has not run."""
    fleet = engines(memory_tokens=5_000)
    async with entry_harness(engines=fleet, document=DOCUMENT) as harness:
        assert await send_prompt(harness, "5e55", "a1") == 429
        (line,) = harness.events("request_refused")
        assert line["run_state"] == "not_run"
        assert 0 < line["retry_after"] <= 4 / 3
    assert not any(engine.runs for engine in fleet)
