"""An HTTP request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Method, path with query, body and headers.

    ``reuse`` allows an idle connection. Without it the request gets a connection of
    its own, so that a failure before the first byte is always known as such.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    reuse: bool = False
