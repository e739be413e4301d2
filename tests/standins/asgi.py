"""Types of the ASGI interface, and reading a request from it."""

from __future__ import annotations

import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

from tests.standins.incoming_request import IncomingRequest

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def read_request(scope: Scope, receive: Receive) -> IncomingRequest | None:
    """Return the request, or None when the client disconnects before its end."""
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        more = message.get("more_body", False)
    query = urllib.parse.parse_qsl(scope["query_string"].decode("ascii"))
    return IncomingRequest(
        method=scope["method"],
        path=urllib.parse.unquote(scope["raw_path"].decode("ascii")),
        raw_path=scope["raw_path"].decode("ascii"),
        query=dict(query),
        headers={
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        },
        body=bytes(body),
        client=tuple(scope["client"]),
    )
