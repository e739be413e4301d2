"""Reader of request bodies, with limits on size and time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from knapweeddrum.process.router.exceptions import CallerGoneError, refused
from knapweeddrum.value.refusal_reason import RefusalReason

BODY_TIMEOUT_SECONDS = 30.0

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body of an ASGI request.

    Raises RefusedError once the body is longer than ``limit_bytes`` or takes longer
    than BODY_TIMEOUT_SECONDS, and CallerGoneError if the caller closes its connection.
    """
    with anyio.move_on_after(BODY_TIMEOUT_SECONDS):
        return await _read_chunks(receive, limit_bytes)
    raise refused(
        RefusalReason.BAD_REQUEST, f"body: not received within {BODY_TIMEOUT_SECONDS} s"
    )


async def _read_chunks(receive: Receive, limit_bytes: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk: bytes = message.get("body", b"")
        size += len(chunk)
        if size > limit_bytes:
            raise refused(
                RefusalReason.BODY_TOO_LARGE, f"body: more than {limit_bytes} bytes"
            )
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def wait_disconnect(receive: Receive) -> None:
    """Return once the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
