"""A served stand-in engine with its client, and requests to it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.http_model_engine import HttpModelEngine
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.value.priority import Priority
from tests.standins.model_engine import ModelEngineStandIn
from tests.standins.serving import serve

OUTPUT_LIMIT = 100


@contextlib.asynccontextmanager
async def served_engine(
    **switches: object,
) -> AsyncIterator[tuple[ModelEngineStandIn, HttpModelEngine]]:
    app = ModelEngineStandIn()
    app.set_switches(token_seconds=0.0, **switches)
    async with serve(app) as url, HttpModelEngine.connect(url) as engine:
        yield app, engine


def model_request(
    run_id: str, content: str = "lot 7?", tokens: int = 5
) -> ModelRequest:
    """Return a request whose body asks for an answer of ``tokens`` tokens.

    The answer also ends at OUTPUT_LIMIT, which the router sets.
    """
    body = {
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
    }
    return ModelRequest(
        run_id=run_id,
        model="m",
        body=msgspec.json.encode(body),
        output_limit=OUTPUT_LIMIT,
        priority=Priority.LIVE,
    )


async def collect(
    stream: contextlib.AbstractAsyncContextManager[AsyncIterator[AnswerPart]],
    held: list[AnswerPart] | None = None,
) -> list[AnswerPart]:
    """Return all parts; ``held`` also has those that arrive before a failure."""
    held = [] if held is None else held
    async with stream as parts:
        async for part in parts:
            held.append(part)
    return held
