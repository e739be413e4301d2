from __future__ import annotations

from knapweeddrum.http.client_connection import ClientConnection
from tests.async_test import async_test
from tests.standins.stamped_engine import StampedEngine


async def ask(engine: StampedEngine, attempt: str, parts: str) -> int:
    """Send one prompt and return the status."""
    tokens = sum(int(part.partition(":")[2]) for part in parts.split(","))
    headers = [
        (b"Host", b"engine"),
        (b"Attempt-Id", attempt.encode()),
        (b"Token-Usage", f"{tokens},9".encode()),
        (b"Prompt-Prefix", parts.encode()),
        (b"Content-Length", b"0"),
    ]
    conn = await ClientConnection.connect(engine.address, 1.0)
    try:
        async with conn.exchange(b"POST", b"/x", headers, b"") as head:
            while await conn.next_data() is not None:
                pass
            return head.status
    finally:
        await conn.close()


@async_test
async def test_cached_part_is_reused_only_after_the_same_parts():
    """A cached part is read again when the part before it differs."""
    engine = StampedEngine("engine-1")
    async with engine.serve():
        assert await ask(engine, "a", "aa:100,bb:50") == 200
        assert await ask(engine, "b", "aa:100,bb:50") == 200
        assert (engine.read_tokens, engine.cached_tokens) == (150, 150)
        assert await ask(engine, "c", "cc:10,bb:50") == 200
        assert (engine.read_tokens, engine.cached_tokens) == (210, 150)


@async_test
async def test_least_recently_used_parts_are_evicted():
    """Memory bounds the cache, and a prompt larger than the memory gets 503."""
    engine = StampedEngine("engine-1", memory_tokens=200)
    async with engine.serve():
        for name in ("aa", "bb", "cc"):
            assert await ask(engine, name, f"{name}:150") == 200
        assert await ask(engine, "again", "aa:150") == 200
        assert engine.cached_tokens == 0
        assert await ask(engine, "larger", "dd:250") == 503
