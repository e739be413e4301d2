"""A caller's HTTP request, read at the border."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.router.caller_headers import CallerHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class BorderRequest:
    """Method, path with query, checked headers and whole body.

    ``request_id`` is the caller's, or minted when ``minted``.
    """

    method: str
    path: str
    query: str
    headers: CallerHeaders
    request_id: str
    minted: bool
    body: bytes
